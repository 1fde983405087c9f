package settings

import (
	"net"
	"net/netip"
	"regexp"
	"strconv"

	"radishpath.example/radishpath/inifile"
)

// idPattern matches valid ids. Ids are used in URLs, log lines and metric tags.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// readAddress reads an address as IP:port. An empty IP stands for all interfaces.
func readAddress(reader *inifile.Reader, name, defaultAddress string) string {
	address := reader.String(name, defaultAddress)
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		reader.ReportInvalid(name, "%q is not an address; write IP:port, for example %s", address, defaultAddress)
		return defaultAddress
	}
	if _, err = netip.ParseAddr(host); host != "" && err != nil {
		reader.ReportInvalid(name, "%q is not an IP address", host)
	}
	if portNumber, portErr := strconv.ParseUint(port, 10, 16); portErr != nil || portNumber > 65535 {
		reader.ReportInvalid(name, "%q is not a port between 0 and 65535", port)
	}
	return address
}

// readDialableAddress reads an address that other processes dial, which must therefore contain a specific IP address.
func readDialableAddress(reader *inifile.Reader, name, defaultAddress string) string {
	address := readAddress(reader, name, defaultAddress)
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	if ip, parseErr := netip.ParseAddr(host); host == "" || (parseErr == nil && ip.IsUnspecified()) {
		reader.ReportInvalid(name,
			"%q is not an address that other processes can dial; use the IP address of this instance", address)
	}
	return address
}

func readID(reader *inifile.Reader, defaultID string) string {
	id := reader.String("id", defaultID)
	if !idPattern.MatchString(id) {
		reader.ReportInvalid("id", "%q is not a valid id; use letters, digits, dots, dashes and underscores", id)
	}
	return id
}

func readRequired(reader *inifile.Reader, name, description string) string {
	value := reader.String(name, "")
	if value == "" {
		reader.ReportInvalid(name, "is required; set it to %s", description)
		return ""
	}
	if name == "id" {
		return readID(reader, "")
	}
	return value
}
