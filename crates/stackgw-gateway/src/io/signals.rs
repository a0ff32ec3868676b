//! Signals: SIGTERM and SIGINT end the gateway, SIGHUP reads its configuration anew, SIGUSR1 prints the counters.

use super::Shell;
use crate::reducer::Input;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::rc::Rc;

pub(super) fn listen() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup, Signal::Usr1])
}

/// Hands over each signal.
pub(super) async fn run(shell: Rc<Shell>, mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => shell.input(Input::Reload(shell.reloader.reload().map(Box::new))),
            Ok(Signal::Usr1) => shell.input(Input::Report),
            Ok(_) => shell.input(Input::Terminate),
            Err(_) => {}
        }
    }
}
