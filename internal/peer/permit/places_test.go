package permit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

const (
	placeSlots     = 4
	placeTolerated = 3
)

// placeRig has an issuer of the places of one server.
type placeRig struct {
	*permit.Issuer
	now time.Time
}

func newPlaceRig() *placeRig {
	g := &placeRig{now: time.Unix(1000, 0)}
	g.Issuer = permit.NewIssuer(func() time.Time { return g.now })
	return g
}

func (g *placeRig) take() permit.Reply {
	return g.Take(permit.Request{Key: "s", VM: "vm", Holder: "vm", Places: placeSlots, Tolerated: placeTolerated})
}

// takeAll takes all places that there are.
func (g *placeRig) takeAll() (serials []uint64) {
	for reply := g.take(); reply.Granted; reply = g.take() {
		serials = append(serials, reply.Serial)
	}
	return serials
}

func (g *placeRig) leave(refused bool, serials ...uint64) {
	for _, serial := range serials {
		g.Observe(permit.Observation{Key: "s", Serial: serial, Place: true, Ended: true, Served: !refused, Refused: refused})
	}
}

// TestServerThatComesBackFillsSlowly guards against servers that fall over again as soon as they are back.
func TestServerThatComesBackFillsSlowly(t *testing.T) {
	g := newPlaceRig()
	for _, want := range []int{1, 2, placeSlots, placeSlots} {
		taken := g.takeAll()
		qt.Check(t, taken, qt.HasLen, want)
		g.leave(false, taken...)
	}
}

func TestRefusalsOfABrittleServerAreBounded(t *testing.T) {
	g := newPlaceRig()
	refused, began := 0, g.now
	for g.now.Sub(began) < 10*time.Second {
		if reply := g.take(); reply.Granted {
			g.leave(true, reply.Serial)
			refused++
		}
		g.now = g.now.Add(10 * time.Millisecond)
	}
	qt.Check(t, refused > 0, qt.IsTrue, qt.Commentf("it is tried again"))
	qt.Check(t, refused <= 10*placeTolerated/2, qt.IsTrue, qt.Commentf("%d refusals", refused))
}

func TestPlaceOfALostVMExpires(t *testing.T) {
	g := newPlaceRig()
	qt.Assert(t, g.takeAll(), qt.HasLen, 1)
	qt.Assert(t, g.take().Granted, qt.IsFalse)
	g.now = g.now.Add(5 * time.Second)
	qt.Check(t, g.take().Granted, qt.IsTrue)
	qt.Assert(t, g.take().Granted, qt.IsFalse)
	g.Release([]string{"vm"})
	qt.Check(t, g.take().Granted, qt.IsTrue)
}

func TestStreamHoldsItsPlaceAfterItHasBegun(t *testing.T) {
	g := newPlaceRig()
	serial := g.takeAll()[0]
	g.Observe(permit.Observation{Key: "s", Serial: serial, Place: true, Served: true})
	qt.Assert(t, g.takeAll(), qt.HasLen, 1)
	g.Observe(permit.Observation{Key: "s", Serial: serial, Place: true, Ended: true})
	qt.Check(t, g.takeAll(), qt.HasLen, 1)
}
