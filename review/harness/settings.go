package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// renderSettings fills in a settings template of the deploy file and returns the path of the result.
func renderSettings(directory, template, node string, values map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", template))
	if err != nil {
		return "", fmt.Errorf("read template: %w", err)
	}
	rendered := string(text)
	for name, value := range values {
		rendered = strings.ReplaceAll(rendered, "{{"+name+"}}", value)
	}
	if strings.Contains(rendered, "{{") {
		return "", fmt.Errorf("template %s has a field that the case doesn't know: %s", template, rendered)
	}
	path := filepath.Join(directory, node+".ini")
	if err = os.WriteFile(path, []byte(rendered), 0o600); err != nil {
		return "", fmt.Errorf("write settings: %w", err)
	}
	return path, nil
}

// commonValues returns the fields of the settings that all roles have, with the bounds of a small site.
func commonValues(node, zone, ip string, port int, seeds string) map[string]string {
	return map[string]string{
		"node":               node,
		"zone":               zone,
		"ip":                 ip,
		"internalPorts.0":    fmt.Sprint(port),
		"internalPorts.1":    fmt.Sprint(port + 1),
		"listen.front":       fmt.Sprintf("%s:%d", ip, port+2),
		"listen.ready":       fmt.Sprintf("%s:%d", ip, port+3),
		"listen.control":     fmt.Sprintf("%s:%d", ip, port+4),
		"seeds":              seeds,
		"advice":             "",
		"limits.memoryMb":    "284",
		"limits.cpuShare":    "0.4",
		"bounds.revokeMs":    "5000",
		"bounds.graceS":      "6",
		"bounds.holdMaxMs":   "10000",
		"bounds.stopGraceMs": "200",
		"bounds.reclaimMs":   "2700",
		"bounds.status_s":    "120",
		"bounds.farFactor":   "3",
	}
}
