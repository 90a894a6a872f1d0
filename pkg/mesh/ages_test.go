package mesh

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/umbercrank/umbercrank/pkg/peer"
	"github.com/umbercrank/umbercrank/pkg/types"
)

// TestImpossibleAgesKeepNoInstanceUp guards against a heartbeat that keeps a lost instance up because
// ages in it are negative or overflow: requests for the permits that it issued would get no reply.
func TestImpossibleAgesKeepNoInstanceUp(t *testing.T) {
	// A nanosecond count of 64 bits for the second age is that of minus one hour.
	for name, age := range map[string]int64{"negative": -time.Hour.Milliseconds(), "overflow": 18446740473709} {
		for field, heartbeat := range map[string]func(InstanceInfo) Heartbeat{
			"gossip": func(lost InstanceInfo) Heartbeat {
				return Heartbeat{Gossip: []GossipEntry{{InstanceInfo: lost, AgeMilliseconds: age}}}
			},
			"ages": func(lost InstanceInfo) Heartbeat {
				return Heartbeat{AgesMilliseconds: map[types.InstanceID]int64{lost.ID: age}}
			},
		} {
			t.Run(name+"/"+field, func(t *testing.T) {
				runLargeFleet(t, func(t *testing.T, f *fleet) {
					time.Sleep(10 * time.Second)
					const receiver, sender = 20, 0
					lost := len(f.meshes) - 1
					m := f.meshes[receiver]
					m.mu.Lock()
					message := heartbeat(m.members[address(lost)].info)
					message.InstanceInfo = m.members[address(sender)].info
					m.mu.Unlock()
					packed, err := peer.Pack(message)
					if err != nil {
						t.Fatal(err)
					}
					params, err := json.Marshal(packed)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := m.handleHeartbeat(context.Background(), peer.Identity{}, params); err != nil {
						t.Fatal(err)
					}
					f.network.RemoveNode(address(lost))
					f.stops[lost]()
					time.Sleep(2 * distantDownAfter)
					m.mu.Lock()
					defer m.mu.Unlock()
					if member, ok := m.members[address(lost)]; ok && !member.down {
						t.Errorf("%v after its loss, the instance is up, last heard from in %v", 2*distantDownAfter, member.lastHeard-m.options.Clock())
					}
				})
			})
		}
	}
}
