//! Black-box tests: separate processes on loopback, used only through their
//! network interfaces and the command line.

mod clients;
mod cluster;
mod edits;
mod evacuations;
mod malformed;
mod queries;
mod stops;
mod submissions;
