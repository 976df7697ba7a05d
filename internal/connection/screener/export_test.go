package screener

// IsAccepting reports whether a server accepts connections.
func (s *Screener) IsAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepting) > 0
}
