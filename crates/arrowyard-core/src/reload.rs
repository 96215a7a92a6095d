//! Reload on SIGHUP: reads the configuration file and the operator's file again.

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

/// Reads the layout of cells from the operator's file; `None` if it has no cells.
pub type LoadLayout = Arc<dyn Fn() -> Result<Option<Layout>, String> + Send + Sync>;

/// The task that handles SIGHUP.
pub struct ReloadTask<T: HostTransport> {
    /// Commands to discovery.
    pub discovery: mpsc::Sender<DiscoveryCommand>,
    pub limits: Rc<Limits>,
    /// How the operator's file is read, if there is one, and the channel to the route task.
    pub layout_source: Option<(LoadLayout, mpsc::Sender<RouteMessage<T>>)>,
}

impl<T: HostTransport> ReloadTask<T> {
    /// Handles signals until the router ends. Of the configuration file only discovery's address is
    /// reloaded.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read_config().await {
                Ok(config) => {
                    tracing::info!(discovery = %config.discovery, "SIGHUP: the configuration file was reloaded");
                    // Discovery's task ends only with the router.
                    let _ = self.discovery.send(DiscoveryCommand::SetAddress(config.discovery)).await;
                }
                Err(error) => tracing::error!(
                    "SIGHUP: the configuration file is invalid; the configuration is unchanged: {error}"
                ),
            }
            self.reload_layout().await;
        }
    }

    /// Reads the operator's file and sends its layout to the route task; an invalid file changes nothing.
    async fn reload_layout(&self) {
        let Some((load_layout, messages)) = &self.layout_source else { return };
        // Reading and checking a large file on the core's thread would delay every op.
        let load_layout = load_layout.clone();
        let loaded = spawn_blocking(move || load_layout()).await;
        match loaded.unwrap_or_else(|error| Err(error.to_string())) {
            Ok(Some(layout)) => drop(messages.send(RouteMessage::LayoutReloaded(Box::new(layout))).await),
            Ok(None) => tracing::error!("SIGHUP: the operator's file has no cells; the cells are unchanged"),
            Err(error) => error.lines().for_each(|line| {
                tracing::error!("SIGHUP: the operator's file is invalid; the cells are unchanged: {line}")
            }),
        }
    }

    /// Loads the configuration file, repeatedly if it is invalid, since it may be in the course of being
    /// replaced.
    async fn read_config(&self) -> Result<RouterConfig, String> {
        let mut config = RouterConfig::load();
        for _ in 1..self.limits.max_file_reads {
            if config.is_ok() {
                break;
            }
            sleep(self.limits.retry_pause).await;
            config = RouterConfig::load();
        }
        config
    }
}
