package routing

import (
	"crypto/sha256"

	"github.com/currantwinch/currantwinch/workload"
)

// Tenant is a customer of the cluster, with its entitlement.
type Tenant struct {
	Name string
	// Weight is the tenant's share relative to the other tenants when all capacity is
	// in use, and also its rate limit in submissions a second.
	Weight float64
	// Cap bounds what the tenant may have running on all backend servers together. A
	// resource that is 0 has no bound.
	Cap workload.Resources
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept, so that
// they cannot reach a log line, a metric or a dump.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenancy is the tenants of a configuration and their keys.
type Tenancy struct {
	Tenants map[string]Tenant
	// Keys maps the digest of each key to the name of its tenant.
	Keys map[KeyDigest]string
}

// Authenticate returns the tenant of a key, or false if no tenant has it. Its time depends on
// the digest alone, and so discloses nothing about the keys in force.
func (t *Tenancy) Authenticate(key string) (Tenant, bool) {
	name, ok := t.Keys[DigestOf(key)]
	if !ok {
		return Tenant{}, false
	}
	tenant, ok := t.Tenants[name]
	return tenant, ok
}

// Tenant returns a tenant by name. It returns false for every name in a configuration
// without tenants.
func (c *Configuration) Tenant(name string) (Tenant, bool) {
	if c == nil || c.Tenancy == nil {
		return Tenant{}, false
	}
	t, ok := c.Tenancy.Tenants[name]
	return t, ok
}
