//! A new file while in service: on SIGHUP it is read once more, and discovery is reached where it says now.

use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::limits::Limits;
use crate::mail::Wish;
use crate::waybill::Waybill;

pub struct Reload {
    pub wishes: mpsc::Sender<Wish>,
    pub limits: Rc<Limits>,
}

impl Reload {
    /// Goes on for as long as signals can come. All but discovery's address holds from the start to the end.
    pub async fn run(self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match self.read().await {
                Ok(waybill) => {
                    tracing::info!(discovery = %waybill.discovery, "SIGHUP: the file was read again");
                    // Discovery's task is gone only when the router ends.
                    let _ = self.wishes.send(Wish::Move(waybill.discovery)).await;
                }
                Err(why) => tracing::error!("SIGHUP: nothing changes: {why}"),
            }
        }
    }

    /// Danger: the file is read while it is being replaced, half of it there. So it is read a few times.
    async fn read(&self) -> Result<Waybill, String> {
        let mut last = Waybill::read();
        for _ in 1..self.limits.reads {
            if last.is_ok() {
                break;
            }
            sleep(self.limits.pause).await;
            last = Waybill::read();
        }
        last
    }
}
