//! Decides at an entry which backend server takes a request, or that it is refused.
//!
//! The crate does no I/O and reads no clock.

mod budget;
mod cold;
mod demand;
mod departure;
mod floor;
mod table;

pub use budget::RetryBudget;
pub use departure::Departure;
pub use floor::{Choice, Floor, Refused, Ticket, Wish};
pub use table::{KeyCheck, Table};
