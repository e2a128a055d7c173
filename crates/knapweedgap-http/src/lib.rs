//! Bounded HTTP/1.1 over async-h1, shared by the packages of the HTTP peers.
