//! Black-box tests: separate processes on loopback, driven by their
//! interfaces alone.

mod bench;
mod edits;
mod evacuations;
mod junk;
mod queries;
mod stops;
mod submissions;
