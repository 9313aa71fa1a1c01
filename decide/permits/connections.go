package permits

import "time"

const (
	// connectCost is the cost of a new connection, in loads of a full server: a round trip, and
	// one of the server's places for a short time.
	connectCost = 0.3
	// connectionIdle is how long an idle connection is expected to last. Servers close them
	// after some seconds.
	connectionIdle = 4 * time.Second
)

// connections remembers which gateways have idle connections to which servers, by what was
// granted and answered. A gateway whose requests go to the servers that it is connected to opens
// few new connections.
type connections map[connection]idleConnections

type connection struct{ gateway, server string }

type idleConnections struct {
	count int
	since time.Time // when the last one became idle
}

// released records that a connection became idle.
func (c connections) released(now time.Time, gateway, server string) {
	key := connection{gateway, server}
	idle := c[key]
	if now.Sub(idle.since) > connectionIdle {
		idle.count = 0
	}
	c[key] = idleConnections{idle.count + 1, now}
}

// taken records that a request is sent, on an idle connection if there is one.
func (c connections) taken(gateway, server string) {
	key := connection{gateway, server}
	idle, known := c[key]
	if !known {
		return
	}
	idle.count--
	if idle.count <= 0 {
		delete(c, key)
		return
	}
	c[key] = idle
}

// has reports whether the gateway has an idle connection to the server.
func (c connections) has(now time.Time, gateway, server string) bool {
	idle, known := c[connection{gateway, server}]
	return known && now.Sub(idle.since) <= connectionIdle
}

// expire forgets connections that have ended.
func (c connections) expire(now time.Time) {
	for key, idle := range c {
		if now.Sub(idle.since) > connectionIdle {
			delete(c, key)
		}
	}
}
