package testca

import (
	"net"
	"time"

	"github.com/currantwinch/currantwinch/internal/certs"
)

// CellAuthorities holds the certificate authorities of a cell, one for daemons
// and one for operators.
type CellAuthorities struct {
	Daemons   *Authority
	Operators *Authority
	dir       string
}

// NewCellAuthorities creates both authorities. They write certificates to dir.
func NewCellAuthorities(dir string, now func() time.Time) (*CellAuthorities, error) {
	daemons, err := New(now)
	if err != nil {
		return nil, err
	}
	operators, err := New(now)
	return &CellAuthorities{Daemons: daemons, Operators: operators, dir: dir}, err
}

// Daemon issues a new certificate for a daemon, valid also for 127.0.0.1.
func (c *CellAuthorities) Daemon(r Request) (certs.Files, error) {
	operator, err := c.Operator(Request{Name: "operator-of-" + r.Name})
	if err != nil {
		return certs.Files{}, err
	}
	r.IPs = append(r.IPs, net.IPv4(127, 0, 0, 1))
	own, err := c.Daemons.Issue(c.dir, r)
	return certs.Files{
		Certificate: own.Certificate, Key: own.Key, Authority: own.Authority,
		OperatorAuthority: operator.Authority,
	}, err
}

// Operator issues an operator's certificate.
func (c *CellAuthorities) Operator(r Request) (Issued, error) { return c.Operators.Issue(c.dir, r) }
