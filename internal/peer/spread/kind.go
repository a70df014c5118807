package spread

// KindOf classifies a message by its largest part, for traffic statistics.
func KindOf(body []byte) string {
	m, err := decode(body)
	switch {
	case err != nil:
		return "unreadable"
	case m.HasLoads:
		return "work"
	case len(m.Losses)+len(m.Departures)+len(m.Crashes) > 0:
		return "losses and departures"
	case m.Rollouts != nil || len(m.Tallies) > 0 || m.Credit != nil || m.CreditReply != nil:
		return "roll-outs"
	case len(m.Copies) > 0 || len(m.WantCopies) > 0:
		return "places of copies"
	case len(m.Config) > 0:
		return "configurations"
	case m.Servers != nil:
		return "lists of servers"
	case m.Fetch != nil:
		return "fetches"
	case len(m.Digests)+len(m.WantMembers) > 0 || len(m.Members) > 1:
		return "members"
	case m.NoReply:
		return "hints"
	default:
		return "summaries"
	}
}
