//! Status of a control machine, as JSON.

use std::net::Ipv4Addr;

use arrowyard_types::Timestamp;

use super::Control;

impl Control {
    /// Builds the body of `GET /status`.
    pub(super) fn status(&self, now: Timestamp) -> String {
        let applied = self.replicated_log.applied();
        let text = |text: &str| sonic_rs::to_string(text).unwrap_or_default();
        let ip = |ip: u32| text(&Ipv4Addr::from(ip).to_string());
        let list = |items: Vec<String>| format!("[{}]", items.join(","));
        let hosts = self.registry.hosts().map(|host| {
            format!(
                "{{\"id\":{},\"service\":{},\"zone\":{},\"phase\":{},\"db-role\":{},\"silent\":{}}}",
                text(&host.id),
                text(&host.service),
                text(&host.zone),
                text(host.phase().as_str()),
                text(host.role().as_str()),
                self.silences.contains(&host.id)
            )
        });
        let routers = self.subscribed_routers().map(|(_, router)| {
            format!("{{\"node\":{},\"revision\":{}}}", text(&router.node), router.seen.revision)
        });
        let duties = applied.duties.values().map(|duty| {
            format!(
                "{{\"duty\":{},\"node\":{},\"fence\":{}}}",
                text(&duty.duty),
                text(&duty.node),
                duty.fence
            )
        });
        let stages = self.promotions.by_service.iter().map(|(service, promotion)| {
            format!("{{\"service\":{},\"stage\":{}}}", text(service), text(&promotion.stage.to_string()))
        });
        let shares = self.shares.status().into_iter().map(|(row, name)| {
            format!(
                "{{\"host\":{},\"service\":{},\"owed\":\"{:.2}\",\"runs\":\"{:.2}\",\"waits\":\"{:.2}\",\"held\":{},\"pressed-ms\":{}}}",
                text(&row.host),
                text(name),
                row.fair_share,
                row.in_flight,
                row.queued,
                row.limited,
                (now - row.overloaded_since).micros().max(0) / 1000 * i64::from(row.overloaded_since != Timestamp::default()),
            )
        });
        format!(
            "{{\"node\":{},\"revision\":{},\"slot\":{},\"votes\":{},\"disk-works\":{},\"voters\":{},\"controls\":{},\"routers-all\":{},\
             \"routers\":{},\"hosts\":{},\"duties\":{},\"promotions\":{},\"divides\":{},\"shares\":{}}}",
            text(&self.settings.node),
            applied.configuration.revision,
            applied.slot,
            self.is_able_to_vote(now),
            self.disk.is_healthy(now),
            list(self.replicated_log.voters().iter().map(|voter| ip(*voter)).collect()),
            list(self.reachable_peers(now).map(|(peer, _)| ip(*peer)).collect()),
            self.routers,
            list(routers.collect()),
            list(hosts.collect()),
            list(duties.collect()),
            list(stages.collect()),
            self.fence.is_some(),
            list(shares.collect()),
        )
    }
}
