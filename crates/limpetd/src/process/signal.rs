//! Signals that stop the daemon.

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::{oneshot, watch},
};

use crate::error::{Error, Result};

/// Installs the handlers for SIGTERM and SIGINT. The first signal sets the
/// watch to `true`, which starts a graceful stop; the second one resolves the
/// oneshot receiver, which ends the daemon at once.
///
/// # Errors
///
/// A signal handler cannot be installed.
pub fn listen() -> Result<(watch::Receiver<bool>, oneshot::Receiver<()>)> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let (exit_now_tx, exit_now_rx) = oneshot::channel();
    actix_rt::spawn(async move {
        next_signal(&mut terminate, &mut interrupt).await;
        log::info!(event = "stopping"; "signal received; stopping gracefully");
        stop_tx.send_replace(true);
        next_signal(&mut terminate, &mut interrupt).await;
        // Fails if the daemon stopped before the second signal.
        let _ = exit_now_tx.send(());
    });
    Ok((stop_rx, exit_now_rx))
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
