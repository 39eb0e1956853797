package platform

// readableState returns the state that reads are answered from: that of the snapshot with the name, or the current one if the
// name is empty or unknown. The caller holds mu.
func (s *state) readableState(snapshotName string) *state {
	saved, ok := s.snapshots[snapshotName]
	if !ok || snapshotName == "" {
		return s
	}
	return &state{revision: saved.revision, records: saved.records}
}
