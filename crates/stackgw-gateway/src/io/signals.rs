//! Signals: SIGTERM and SIGINT end the gateway, SIGHUP reloads its configuration, SIGUSR1 prints the counters.

use super::driver::Driver;
use crate::reducer::Input;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use std::rc::Rc;

pub(super) fn listen() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1])
}

/// Passes each signal to the reducer.
pub(super) async fn run(driver: Rc<Driver>, mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => {
                let config = driver.reloader.reload().map(Box::new);
                driver.handle_input(Input::Reload(config));
            }
            Ok(Signal::Usr1) => driver.handle_input(Input::Report),
            Ok(_) => driver.handle_input(Input::Terminate),
            Err(_) => {}
        }
        // A reload reads files and may take long.
        future::yield_now().await;
    }
}
