package settings

import (
	"time"

	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/observe"
)

// Defaults returns the values of the settings that a file may leave out.
func Defaults() Settings {
	return Settings{
		Control: Control{
			HeartbeatInterval:    jsonc.Duration(200 * time.Millisecond),
			ElectionTimeout:      jsonc.Duration(time.Second),
			MaxClockDriftPercent: 5,
			SnapshotEntries:      1000,
		},
		Entry: Entry{
			HeaderTimeout:     jsonc.Duration(5 * time.Second),
			BodyTimeout:       jsonc.Duration(30 * time.Second),
			MaxInFlight:       4096,
			MaxBodyMemory:     512 << 20,
			HeartbeatInterval: jsonc.Duration(500 * time.Millisecond),
			UnresponsiveAfter: jsonc.Duration(2 * time.Second),
			ReadyWait:         jsonc.Duration(2 * time.Second),
			ConnectTimeout:    jsonc.Duration(500 * time.Millisecond),
		},
		Routing: Routing{
			Policy:       PolicyLeases,
			LeaseTimeout: jsonc.Duration(50 * time.Millisecond),
			LeaseTerm:    jsonc.Duration(2 * time.Second),
		},
		Shutdown: Shutdown{
			BalancerWait: jsonc.Duration(2 * time.Second),
			Timeout:      jsonc.Duration(10 * time.Minute),
		},
		Log: LogSettings{Format: observe.LogJSON, Level: "info"},
	}
}

// Load reads and checks a settings file. Settings that the file leaves out have
// their defaults. The error is set only if the file can't be read; mistakes in
// its content are returned as findings.
func Load(file string) (*Settings, jsonc.Findings, error) {
	loaded := Defaults()
	doc, err := jsonc.DecodeFile(file, &loaded)
	if err != nil {
		return nil, nil, err
	}
	check(doc, &loaded)
	return &loaded, doc.Findings(), nil
}
