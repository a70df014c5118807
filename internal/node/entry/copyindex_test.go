package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestUnreadableVersionsAreNotTakenForNone(t *testing.T) {
	vm, store := newEraVM(t)
	store.set(1, 5, Row{Key: versionsKey, Value: []byte("\xff\x00no row"), Version: 5})
	(&copyIndex{vm: vm}).read(context.Background())
	_, known := vm.servers.Versions()
	qt.Check(t, known, qt.IsFalse)
}
