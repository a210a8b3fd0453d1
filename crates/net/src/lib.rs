//! TCP sockets, the worker thread pool, signals and graceful shutdown.

mod connect;
mod listen;
mod pool;
mod signals;
mod stop;
mod stream;

pub use connect::{connect, set_reset_on_close, with_timeout};
pub use listen::bind;
pub use pool::{Pool, start_pool};
pub use signals::{ReloadSignal, wait_for_stop_signal};
pub use stop::{InFlightGuard, Stop};
pub use stream::{Allowance, Listener, NoProgress, Stream};
