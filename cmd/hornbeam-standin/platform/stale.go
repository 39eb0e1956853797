package platform

// view returns the records that reads are answered from: those of the stale copy, if there is one. The caller holds mu.
func (s *state) view(copyName string) *state {
	c, ok := s.copies[copyName]
	if !ok || copyName == "" {
		return s
	}
	return &state{revision: c.revision, records: c.records}
}
