package cell

import "maps"

// Operations holds what the operators published: the newest configuration and the availability zones out of service.
type Operations struct {
	// Loaded is set once a configuration was read.
	Loaded         bool
	Config         Config
	EvacuatedZones map[string]bool
}

// WithConfig returns the operations with a configuration, or unchanged if the current configuration is newer.
func (o Operations) WithConfig(config Config) Operations {
	if o.Loaded && config.Version < o.Config.Version {
		return o
	}
	o.Loaded = true
	o.Config = config
	return o
}

// WithZone returns the operations with an availability zone taken out of service or put back into service.
func (o Operations) WithZone(zone string, out bool) Operations {
	evacuated := maps.Clone(o.EvacuatedZones)
	if evacuated == nil {
		evacuated = map[string]bool{}
	}
	delete(evacuated, zone)
	if out {
		evacuated[zone] = true
	}
	o.EvacuatedZones = evacuated
	return o
}
