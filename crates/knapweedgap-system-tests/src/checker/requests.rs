//! Checker of requests (G4 to G8).
