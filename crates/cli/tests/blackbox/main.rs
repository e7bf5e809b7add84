//! Black-box tests: separate processes on loopback, used only through their
//! network interfaces and the command line.

mod bench;
mod edits;
mod evacuations;
mod junk;
mod queries;
mod stops;
mod submissions;
