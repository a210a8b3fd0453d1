//! Listening sockets.

use crate::Listener;
use miette::{Report, miette};
use std::{io, net::SocketAddr};

/// Binds a listening socket to `address`, which the given flag specified.
///
/// # Errors
///
/// Returns an error that names the flag, the address and the cause, with a hint on how to fix it.
pub fn bind(flag: &str, address: SocketAddr) -> Result<Listener, Report> {
    Listener::bind(address).map_err(|e| bind_error(flag, address, &e))
}

fn bind_error(flag: &str, address: SocketAddr, e: &io::Error) -> Report {
    let help = match e.kind() {
        io::ErrorKind::AddrInUse => {
            format!("stop the program that uses it, or set --{flag} to another IP:PORT")
        }
        io::ErrorKind::AddrNotAvailable => format!("set --{flag} to an address of this host"),
        _ => format!("set --{flag} to an IP:PORT that this process may use"),
    };
    miette!(help = help, "--{flag}: can't listen on {address}: {e}")
}
