// Package schema holds the schemas of settings, configuration and the
// messages between hosts. The types made from them are committed, so a build
// needs no generator; `go generate ./schema` makes them anew.
package schema

import _ "embed"

//go:generate go-jsonschema -p loader --tags json --struct-name-from-title --capitalization TLS -o ../loader/settings_gen.go settings.schema.json
//go:generate go-jsonschema -p loader --tags json --struct-name-from-title --capitalization TLS -o ../loader/forward_gen.go forward.schema.json
//go:generate go-jsonschema -p builder --tags json --struct-name-from-title --capitalization TLS -o ../builder/configuration_gen.go configuration.schema.json
//go:generate protoc --go_out=.. --go_opt=module=github.com/sardineward/sardineward --twirp_out=.. --twirp_opt=module=github.com/sardineward/sardineward peer.proto share.proto

// Settings is the JSON Schema of one host's settings.
//
//go:embed settings.schema.json
var Settings []byte

// Forward is the JSON Schema of the settings of a host that forwards by a route
// table.
//
//go:embed forward.schema.json
var Forward []byte

// Configuration is the JSON Schema of the operators' configuration.
//
//go:embed configuration.schema.json
var Configuration []byte
