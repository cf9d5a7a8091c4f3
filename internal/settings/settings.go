// Package settings reads and validates the settings file of one daemon process:
// its name and location, its listen addresses, and the addresses of the platform.
package settings

import (
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/certs"
)

// Settings are one daemon's settings.
type Settings struct {
	// Name is the entry VM's name in the platform's VM list.
	Name     string           `json:"name" validate:"required"`
	Location cluster.Location `json:"location"`
	// Regions are all regions of the cell with their failure domains.
	Regions  []Region `json:"regions" validate:"required,min=1,dive"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	// Credential authenticates the daemons to the platform's log.
	Credential string `json:"credential" validate:"required"`
	// StopTimeout is the maximum duration of a graceful stop, 1 s to 10 min.
	StopTimeout document.Duration `json:"stopTimeout" validate:"min=1000000000,max=600000000000"`
	Log         Log               `json:"log"`
	// Limits describes the VM and bounds what clients can take of the daemon.
	Limits Limits `json:"limits"`
	// TLS secures the daemon's listen addresses; if nil, they are unencrypted.
	TLS *TLS `json:"tls,omitempty"`
	// HeapGrowthPercent is the garbage collector's target percentage (GOGC): the
	// heap may grow by this much over the live heap before the next collection.
	// A lower value costs more CPU time.
	HeapGrowthPercent int `json:"heapGrowthPercent" validate:"min=20,max=400"`
}

// Region is a region and its failure domains.
type Region struct {
	Name           string   `json:"name" validate:"required"`
	FailureDomains []string `json:"failureDomains" validate:"required,min=1,dive,required"`
}

// Listen holds the daemon's listen addresses, each an IP address and a port.
type Listen struct {
	Callers   string `json:"callers" validate:"required,ip_port"`
	Operators string `json:"operators" validate:"required,ip_port"`
	Peers     string `json:"peers" validate:"required,ip_port"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log    string `json:"log" validate:"required,http_url"`
	VMList string `json:"vmList" validate:"required,http_url"`
}

// Log configures the level and format of log output.
type Log struct {
	Level  string `json:"level" validate:"oneof=debug info warn error"`
	Format string `json:"format" validate:"oneof=json text"`
}

// TLS names PEM files, which are reloaded when they change.
type TLS struct {
	// Certificate is the daemon's certificate, with the daemon's name as a DNS
	// name.
	Certificate string `json:"certificate" validate:"required"`
	Key         string `json:"key" validate:"required"`
	// Authority is the CA that verifies other daemons.
	Authority string `json:"authority" validate:"required"`
	// OperatorAuthority is the CA that verifies operators. It must differ from
	// Authority; otherwise an operator's certificate would be accepted by the
	// protocol between daemons.
	OperatorAuthority string `json:"operatorAuthority" validate:"required"`
}

// Files returns the file names in the form that package certs uses.
func (t TLS) Files() certs.Files {
	return certs.Files{
		Certificate: t.Certificate, Key: t.Key,
		Authority: t.Authority, OperatorAuthority: t.OperatorAuthority,
	}
}

// defaults returns settings with the default values of optional keys.
func defaults() Settings {
	return Settings{
		StopTimeout: document.Duration(defaultStopTimeout),
		Log:         Log{Level: "info", Format: "json"},

		HeapGrowthPercent: defaultHeapGrowth,
	}
}
