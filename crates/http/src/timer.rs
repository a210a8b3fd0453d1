//! hyper's timer interface on `async-io`.

use async_io::Timer;
use futures_lite::FutureExt;
use hyper::rt::{Sleep, Timer as HyperTimer};
use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

/// Runs hyper's timeouts on the `async-io` reactor.
#[derive(Debug, Clone, Copy, Default)]
pub struct AsyncIoTimer;

#[derive(Debug)]
struct AsyncIoSleep(Timer);

impl Future for AsyncIoSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.poll(cx).map(|_| ())
    }
}

impl Sleep for AsyncIoSleep {}

impl HyperTimer for AsyncIoTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(AsyncIoSleep(Timer::after(duration)))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(AsyncIoSleep(Timer::at(deadline)))
    }
}
