package edge

import (
	"context"
	"time"

	"github.com/umbercrank/umbercrank/pkg/fairshare"
	"github.com/umbercrank/umbercrank/pkg/mesh"
	"github.com/umbercrank/umbercrank/pkg/wait"
)

// sharesLogInterval is the time between two lines about an account that is over its share.
const sharesLogInterval = time.Second

// shareTable returns the table of the shares of client accounts, or nil if the settings do not
// ask for fair shares.
func (e *Edge) shareTable() mesh.ShareTable {
	if !e.settings.FairShares {
		return nil
	}
	return state{e}
}

// OwnShares implements mesh.ShareTable.
func (s state) OwnShares(now time.Duration) fairshare.Report { return s.edge.gateway.OwnShares(now) }

// SetFleetShares implements mesh.ShareTable.
func (s state) SetFleetShares(now time.Duration, report fairshare.Report) {
	s.edge.gateway.SetFleetShares(now, report)
}

// logShares logs the accounts that are over their share until ctx is done.
func (e *Edge) logShares(ctx context.Context) {
	if !e.settings.FairShares {
		return
	}
	for wait.For(ctx, sharesLogInterval) {
		e.gateway.LogShares()
	}
}
