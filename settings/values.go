package settings

import (
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"radishpath.example/radishpath/document"
	"radishpath.example/radishpath/inifile"
)

// identifier is what ids may consist of; they stand in URLs, log lines and metric tags.
var identifier = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checkDistinct reports addresses that two keys share.
func checkDistinct(reader *inifile.Reader, addresses map[string]string, names ...string) {
	for i, name := range names {
		for _, earlier := range names[:i] {
			address := addresses[name]
			if address == addresses[earlier] && !strings.HasSuffix(address, ":0") {
				reader.Bad(name, "%s is already the address of %s", address, earlier)
			}
		}
	}
}

func operatorWarnings(name string, operators []Operator) Findings {
	if len(operators) > 0 {
		return nil
	}
	return Findings{
		{
			File:    name,
			Section: "operators",
			Problem: "no operator, so the administration API answers nobody; add <name> = sha256:<hex>",
		},
	}
}

// readAddress reads an address to listen on.
func readAddress(reader *inifile.Reader, name, byDefault string) string {
	address := reader.String(name, byDefault)
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		reader.Bad(name, "%q is no address; write IP:port, for example %s", address, byDefault)
		return byDefault
	}
	if _, err = netip.ParseAddr(host); host != "" && err != nil {
		reader.Bad(name, "%q is no IP address", host)
	}
	if number, portErr := strconv.ParseUint(port, 10, 16); portErr != nil || number > 65535 {
		reader.Bad(name, "%q is no port between 0 and 65535", port)
	}
	return address
}

// readDialed reads an address that other processes dial, which therefore names one IP address.
func readDialed(reader *inifile.Reader, name, byDefault string) string {
	address := readAddress(reader, name, byDefault)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	if ip, parseErr := netip.ParseAddr(host); host == "" || (parseErr == nil && ip.IsUnspecified()) {
		reader.Bad(name, "%q is no address that other processes can dial; name this instance's IP address", address)
	}
	return address
}

// readAdvertise reads the address that other processes dial; it is the listen address unless set.
func readAdvertise(reader *inifile.Reader, listen string) string {
	address := reader.String("advertise", "")
	if address == "" {
		return listen
	}
	return readDialed(reader, "advertise", listen)
}

// readDistance reads zone=duration pairs.
func readDistance(reader *inifile.Reader) map[string]time.Duration {
	distance := map[string]time.Duration{}
	for _, part := range reader.List("distance") {
		zone, text, ok := strings.Cut(part, "=")
		latency, err := time.ParseDuration(strings.TrimSpace(text))
		if !ok || err != nil || latency < 0 {
			reader.Bad("distance", "%q is no zone=duration, for example curepipe=1.5ms", part)
			continue
		}
		distance[strings.TrimSpace(zone)] = latency
	}
	return distance
}

func readID(reader *inifile.Reader, byDefault string) string {
	id := reader.String("id", byDefault)
	if !identifier.MatchString(id) {
		reader.Bad("id", "%q is no id; use letters, digits, dots, dashes and underscores", id)
	}
	return id
}

// readNodes reads id=address pairs.
func readNodes(reader *inifile.Reader, name string) []Node {
	var nodes []Node
	seen := map[string]bool{}
	for _, part := range reader.List(name) {
		id, address, ok := strings.Cut(part, "=")
		id, address = strings.TrimSpace(id), strings.TrimSpace(address)
		if !ok || !identifier.MatchString(id) {
			reader.Bad(name, "%q is no id=address, for example entry-1=10.0.0.1:7000", part)
			continue
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			reader.Bad(name, "%s: %q is no IP:port", id, address)
			continue
		}
		if seen[id] {
			reader.Bad(name, "%s stands twice in the list", id)
			continue
		}
		seen[id] = true
		nodes = append(nodes, Node{
			ID:      id,
			Address: address,
		})
	}
	return nodes
}

// readOperators reads the section whose keys are the operators' names.
func readOperators(file *inifile.File) []Operator {
	section := file.First("operators")
	reader := file.Reader(section)
	var operators []Operator
	for _, key := range section.Keys {
		hash := strings.ToLower(reader.String(key.Name, ""))
		if err := document.CheckHash(hash); err != nil {
			reader.Bad(key.Name, "%v", err)
			continue
		}
		operators = append(operators, Operator{
			Name: key.Name,
			Hash: hash,
		})
	}
	return operators
}

func readRequired(reader *inifile.Reader, name, meaning string) string {
	value := reader.String(name, "")
	if value == "" {
		reader.Bad(name, "is missing; it is %s", meaning)
		return ""
	}
	if name == "id" {
		return readID(reader, "")
	}
	return value
}

func readURL(reader *inifile.Reader, name, byDefault string) string {
	text := reader.String(name, byDefault)
	if text == "" {
		return ""
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		reader.Bad(name, "%q is no URL; write for example http://10.0.0.1:7070", text)
		return byDefault
	}
	return strings.TrimSuffix(text, "/")
}

// withoutSelf removes the entry itself from its peers, so that one list can be used for all entries.
func withoutSelf(reader *inifile.Reader, peers []Node, id, listen string) []Node {
	var others []Node
	for _, peer := range peers {
		switch {
		case peer.ID != id:
			others = append(others, peer)
		case peer.Address != listen:
			reader.Bad("peers", "%s is this entry, but its address is %s and not %s", id, listen, peer.Address)
		}
	}
	return others
}
