package copies

import (
	"cmp"
	"time"
)

// Located is a record with its copy key.
type Located struct {
	CopyKey string
	Record  Record
}

// origins has the records by the id of the first attempt of their requests.
type origins struct {
	byID map[string]originEntry
	// stamps are the puts in order of time; those before first have expired. That of an entry which was
	// put again later is outdated.
	stamps  []originStamp
	first   int
	serials int
}

type originEntry struct {
	Located
	isMixed   bool // It was announced with two versions.
	expiresAt time.Time
	serial    int // Of its stamp.
}

// join returns the version of an entry that is announced again. A record from before the first event has none.
func (e originEntry) join(version string) (joined string, isMixed bool) {
	switch {
	case e.isMixed || (e.Record.Version != "" && version != "" && e.Record.Version != version):
		return "", true
	default:
		return cmp.Or(version, e.Record.Version), false
	}
}

type originStamp struct {
	origin string
	serial int
}

// put records a run. The version of a request is known once its first event was written. One that is
// announced with two has none.
func (o *origins) put(copyKey string, record Record, isNewest bool, now time.Time) {
	o.expire(now)
	if record.Origin == "" {
		return
	}
	record.Ambiguous = false
	version, isMixed := "", false
	known, found := o.byID[record.Origin]
	switch {
	case found && known.CopyKey != copyKey:
		return // Another request, which can't have that origin.
	case found && known.Record.Service == record.Service:
		version, isMixed = known.join(record.Version)
		if !isNewest {
			record = known.Record
		}
		record.Version = version
	case found && !isNewest:
		record = known.Record
	}
	o.serials++
	o.byID[record.Origin] = originEntry{Located: Located{CopyKey: copyKey, Record: record}, isMixed: isMixed, expiresAt: now.Add(Retention), serial: o.serials}
	o.stamps = append(o.stamps, originStamp{origin: record.Origin, serial: o.serials})
}

// expire removes the entries whose time is over, and the oldest ones if there are too many.
func (o *origins) expire(now time.Time) {
	for o.first < len(o.stamps) {
		oldest := o.stamps[o.first]
		if e, found := o.byID[oldest.origin]; found && e.serial == oldest.serial {
			if !now.After(e.expiresAt) && len(o.byID) < maxEntries {
				break
			}
			delete(o.byID, oldest.origin)
		}
		o.stamps[o.first] = originStamp{}
		o.first++
	}
	if o.first >= minCompaction && o.first >= len(o.stamps)/2 {
		o.stamps = append([]originStamp(nil), o.stamps[o.first:]...)
		o.first = 0
	}
}

func (o *origins) withdraw(copyKey, origin string) {
	if e, found := o.byID[origin]; found && e.CopyKey == copyKey {
		delete(o.byID, origin)
	}
}

func (o *origins) find(copyKey, origin string, now time.Time) (record Record, found bool) {
	e, found := o.byID[origin]
	if !found || e.CopyKey != copyKey || now.After(e.expiresAt) {
		return Record{}, false
	}
	return e.Record, true
}

// newest returns the records that expire after a time, the newest first.
func (o *origins) newest(oldest time.Time, limit int) (newest []Located) {
	for i := len(o.stamps) - 1; i >= o.first && len(newest) < limit; i-- {
		e, found := o.byID[o.stamps[i].origin]
		if !found || e.serial != o.stamps[i].serial {
			continue
		}
		if !e.expiresAt.After(oldest) {
			break
		}
		newest = append(newest, e.Located)
	}
	return newest
}
