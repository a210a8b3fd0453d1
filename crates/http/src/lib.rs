//! HTTP/1 server and client on top of hyper, shared by all processes.

mod admin;
mod body;
mod client;
mod framing;
mod incoming;
mod server;
mod timer;

pub use admin::{Dump, bearer_token, serve_admin};
pub use body::{
    Body, BodyError, ByteBudget, Reservation, collect, collect_response, empty, error_response,
    full, json_response, text_response,
};
pub use client::{Client, ClientError, Connection};
pub use framing::Framing;
pub use incoming::{Incoming, is_unproductive};
pub use server::{Handler, HandlerFuture, Limits, Server};
pub use timer::AsyncIoTimer;
