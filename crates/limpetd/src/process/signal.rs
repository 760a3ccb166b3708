//! Signals that end the daemon.

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::{oneshot, watch},
};

use crate::error::{Error, Result};

/// Listens for signals. The first SIGTERM or SIGINT sets the watch, the second
/// one resolves the other receiver.
///
/// # Errors
///
/// The process cannot receive signals.
pub fn listen() -> Result<(watch::Receiver<bool>, oneshot::Receiver<()>)> {
    let mut term = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut int = signal(SignalKind::interrupt()).map_err(Error::Signal)?;
    let (stop_tx, stop_rx) = watch::channel(false);
    let (now_tx, now_rx) = oneshot::channel();
    actix_rt::spawn(async move {
        next(&mut term, &mut int).await;
        log::info!(event = "stopping"; "signal received; stopping gracefully");
        stop_tx.send_replace(true);
        next(&mut term, &mut int).await;
        // The daemon may have ended meanwhile.
        let _ = now_tx.send(());
    });
    Ok((stop_rx, now_rx))
}

async fn next(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
