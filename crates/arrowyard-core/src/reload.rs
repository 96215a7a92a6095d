//! A new file while in service: on SIGHUP it is read once more, and discovery is reached where it says now.

use std::rc::Rc;
use std::sync::Arc;

use arrowyard_cells::Layout;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

use crate::limits::Limits;
use crate::messages::{DiscoveryCommand, RouteMessage};
use crate::router_config::RouterConfig;
use crate::transport::HostTransport;

/// Reads the operator's file; nothing if it says nothing of cells.
pub type LoadLayout = Arc<dyn Fn() -> Result<Option<Layout>, String> + Send + Sync>;

pub struct ReloadTask<B: HostTransport> {
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    pub limits: Rc<Limits>,
    /// The operator's file, if there is one, and who takes what it says.
    pub layout_source: Option<(LoadLayout, mpsc::Sender<RouteMessage<B>>)>,
}

impl<B: HostTransport> ReloadTask<B> {
    /// Goes on for as long as signals can come. All but discovery's address holds from the start to the end.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read().await {
                Ok(waybill) => {
                    tracing::info!(discovery = %waybill.discovery, "SIGHUP: the file was read again");
                    // Discovery's task is gone only when the router ends.
                    let _ = self.discovery.send(DiscoveryCommand::SetAddress(waybill.discovery)).await;
                }
                Err(why) => tracing::error!("SIGHUP: nothing changes: {why}"),
            }
            self.reread().await;
        }
    }

    /// Danger: a file that cannot be used is taken in part. It is refused whole, and all stays as it was.
    async fn reread(&self) {
        let Some((read, mail)) = &self.layout_source else { return };
        // Danger: a large file is read and checked on the one thread, and every op waits for it.
        let read = read.clone();
        let told = spawn_blocking(move || read()).await;
        match told.unwrap_or_else(|error| Err(error.to_string())) {
            Ok(Some(layout)) => drop(mail.send(RouteMessage::LayoutReloaded(Box::new(layout))).await),
            Ok(None) => tracing::error!("SIGHUP: the operator's file has no cells; they stay as they are"),
            Err(why) => why.lines().for_each(|line| tracing::error!("SIGHUP: nothing changes: {line}")),
        }
    }

    /// Danger: the file is read while it is being replaced, half of it there. So it is read a few times.
    async fn read(&self) -> Result<RouterConfig, String> {
        let mut last = RouterConfig::load();
        for _ in 1..self.limits.max_file_reads {
            if last.is_ok() {
                break;
            }
            sleep(self.limits.retry_pause).await;
            last = RouterConfig::load();
        }
        last
    }
}
