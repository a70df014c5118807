package pool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

var refusalOfSuccessor = pool.Reply{Purpose: pool.PurposeCall, Status: 421, Refused: true, Permit: 7}

// sendsAt returns how many calls of 100, without a pause between them, the VM sends to a server.
func sendsAt(p *pool.Pool, id string) (sends int) {
	for range 100 {
		if lease, err := p.AcquireForCall("s", nil, pool.VersionRule{}); err == nil && lease.Server.ID == id {
			sends++
		}
	}
	return sends
}

func TestLimitNamedBeforeTheServerIsListedIsKept(t *testing.T) {
	for name, list := range map[string]func(p *pool.Pool){
		"list":             func(p *pool.Pool) { p.Update([]pool.Server{server("a2", "a")}) },
		"report of a peer": func(p *pool.Pool) { p.ApplyPeerSuccessor("a1", "a2") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFleet(1, server("a1", "a"))
			vm := f.vms[0]
			vm.ApplySuccessorNotice("a2", refusalOfSuccessor, named)
			f.pass(5 * time.Second)
			list(vm)
			sends := sendsAt(vm, "a2")
			qt.Check(t, sends <= 2, qt.IsTrue, qt.Commentf("%d sends at 2 a second", sends))
			qt.Check(t, f.asked > 0, qt.IsTrue)
		})
	}
}

func TestLimitOfASuccessorEndsWhenItsRunsNameNone(t *testing.T) {
	f := newLimitFleet(1, server("a1", "a"))
	vm := f.vms[0]
	vm.ApplySuccessorNotice("a2", refusalOfSuccessor, named)
	vm.Update([]pool.Server{server("a2", "a")})
	for range 10 {
		f.pass(time.Second)
		if lease, err := vm.AcquireForCall("s", nil, pool.VersionRule{}); err == nil {
			vm.ApplyLimit(lease.Server, pool.Reply{Purpose: pool.PurposeCall, Status: 200, Permit: lease.Permit}, pool.ServerNotice{})
			lease.Release()
		}
	}
	qt.Check(t, sendsAt(vm, "a2"), qt.Equals, 100)
}

func TestLimitThatEndsBeforeTheServerIsListedIsDropped(t *testing.T) {
	f := newLimitFleet(1, server("a1", "a"))
	vm := f.vms[0]
	vm.ApplySuccessorNotice("a2", refusalOfSuccessor, named)
	vm.ApplySuccessorNotice("a2", refusalOfSuccessor, pool.ServerNotice{})
	vm.Update([]pool.Server{server("a2", "a")})
	qt.Check(t, sendsAt(vm, "a2"), qt.Equals, 100)
}

func TestSuccessorThatLeavesGetsNoWork(t *testing.T) {
	f := newLimitFleet(1, server("a1", "a"))
	vm := f.vms[0]
	vm.ApplySuccessorNotice("a2", refusalOfSuccessor, pool.ServerNotice{Leaving: true})
	vm.Update([]pool.Server{server("a2", "a")})
	qt.Check(t, sendsAt(vm, "a2"), qt.Equals, 0)
}

func TestNoticesOfServersThatAreNeverListedAreDropped(t *testing.T) {
	f := newLimitFleet(1, server("a1", "a"))
	vm := f.vms[0]
	for i := range 1000 {
		vm.ApplySuccessorNotice(fmt.Sprint("unlisted-", i), refusalOfSuccessor, named)
	}
	vm.ApplySuccessorNotice("", refusalOfSuccessor, named)
	f.pass(2 * time.Minute)
	vm.ApplySuccessorNotice("a2", refusalOfSuccessor, named)
	vm.Update([]pool.Server{server("a2", "a")})
	qt.Check(t, sendsAt(vm, "a2") <= 2, qt.IsTrue)
	vm.Update([]pool.Server{server("unlisted-1", "a")})
	qt.Check(t, sendsAt(vm, "unlisted-1"), qt.Equals, 100)
}
