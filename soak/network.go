package soak

import (
	"errors"
	"fmt"
	"net"
)

// Networks of the routers: 127.0.N.0/24, of which one soak at a time uses each.
const (
	firstNetwork = 100
	networks     = 32
)

// errNoNetwork means that other soaks on the machine use all networks.
var errNoNetwork = errors.New("soak: other soaks use all networks")

// network is the one that the routers of a soak have to themselves. Routers of two soaks at the
// same addresses would serve each other's clients.
type network struct {
	number int
	// claim is the listener that keeps others from using the network.
	claim net.Listener
}

// claimNetwork returns the first free network.
func claimNetwork() (*network, error) {
	for n := firstNetwork; n < firstNetwork+networks; n++ {
		if claim, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.254:18800", n)); err == nil {
			return &network{n, claim}, nil
		}
	}
	return nil, errNoNetwork
}

// address returns the IP address of the router with an index from zero.
func (n *network) address(router int) string {
	return fmt.Sprintf("127.0.%d.%d", n.number, router+1)
}

// peerAddress returns the address, with its port, by which other routers know the router with an index from
// zero if a peerNetwork connects them.
func (n *network) peerAddress(router int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", n.number, router+101, peerPort)
}

// release gives the network up.
func (n *network) release() {
	_ = n.claim.Close()
}
