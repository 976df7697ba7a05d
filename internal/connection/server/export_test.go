package server

import "hyssoprudder/internal/connection/screener"

// Counts returns the number of connections by what is going on at them.
func (s *Server) Counts() screener.Counts { return s.listener.Counts() }
