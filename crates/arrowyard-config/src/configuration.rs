use std::collections::{BTreeMap, BTreeSet};

use sonic_rs::{JsonContainerTrait, JsonType, JsonValueTrait, Value};

/// Fields of the system's own in the operator's configuration: what kinds of requests are promised, and, at a route, what
/// it counts as. Their names are no deployment's.
pub const SHARES_FIELD: &str = "arrowyard-shares";
/// Whether pressed hosts are divided at all; they are unless this is false.
pub const DIVISION: &str = "arrowyard-division";
const SHARE: &str = "arrowyard-share";
/// The weight of the highest priority.
const HIGHEST: f64 = 4.0;

/// How fresh what a route reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    Primary,
    BoundedStaleness,
    OwnRegion,
}

/// A route: from a database's name to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Channel {
    pub name: String,
    /// The database's name.
    pub database: String,
    pub prefix: String,
    pub kind: RouteKind,
    pub deadline_ms: f64,
    /// The latency target of an operation.
    pub setpoint_ms: f64,
    /// 0 is the highest.
    pub priority: u32,
    pub service: String,
    pub tries: u32,
    pub staleness_bound_ms: f64,
    /// The kind of requests that it counts as where hosts are divided: what the operator names, or else its kind and
    /// priority.
    pub share: String,
}

/// What the operator promises a kind of requests of the places at a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    pub name: String,
    /// Its weight beside the others, from 0 on.
    pub weight: f64,
    /// The parts of a host's places, 0 to 1, that it gets at least if it asks for them, and at most.
    pub min_fraction: f64,
    pub max_fraction: f64,
    /// Whether others may use its least while it does not ask for it.
    pub lends: bool,
    /// Whether it may have more than its weight's part.
    pub borrows: bool,
}

/// A service: one primary together with its replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    /// Connections that a host takes from all callers together.
    pub conn_limit: u32,
    /// How many replicas must have a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// What holds for every session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub header_wait_ms: f64,
    pub idle_bound_ms: f64,
    pub tx_idle_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { header_wait_ms: 3000.0, idle_bound_ms: 15_000.0, tx_idle_ms: 3000.0 }
    }
}

/// Why a configuration is not taken: its place and what is wrong there.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum ConfigError {
    /// it cannot be read: {0}
    Unreadable(String),
    /// {0}: {1}
    Wrong(String, &'static str),
    /// revision: {0} is not above {1}, which is in place
    Old(u64, u64),
}

/// An item as it was sent, and what is read of it.
#[derive(Clone, Debug, PartialEq)]
struct Item<T> {
    sent: String,
    read: T,
}

/// A whole configuration, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub revision: u64,
    channels: Vec<Item<Channel>>,
    services: Vec<Item<Service>>,
    limits: Option<Item<Limits>>,
    shares: Vec<Item<Share>>,
    /// Pressed hosts are left whole: nothing is divided.
    whole: bool,
    /// Fields that are not known here; they are kept as they were sent.
    others: BTreeMap<String, String>,
}

fn wrong(place: impl Into<String>, what: &'static str) -> ConfigError {
    ConfigError::Wrong(place.into(), what)
}

fn text(item: &Value, field: &str, place: &str) -> Result<String, ConfigError> {
    match item.pointer([field]).and_then(|value| value.as_str()) {
        Some(text) if !text.is_empty() => Ok(text.to_string()),
        _ => Err(wrong(format!("{place}/{field}"), "is no text")),
    }
}

/// A number that is not below 0; `otherwise` where the field is not there.
fn number(item: &Value, field: &str, place: &str, otherwise: f64) -> Result<f64, ConfigError> {
    match item.pointer([field]) {
        None => Ok(otherwise),
        Some(value) => match value.as_f64() {
            Some(number) if number >= 0.0 && number.is_finite() => Ok(number),
            _ => Err(wrong(format!("{place}/{field}"), "is no number from 0 on")),
        },
    }
}

impl Channel {
    fn read(item: &Value, place: &str) -> Result<Self, ConfigError> {
        let kind = match item.pointer(["kind"]).and_then(|kind| kind.as_str()) {
            Some("primary") | None => RouteKind::Primary,
            Some("bounded_staleness") => RouteKind::BoundedStaleness,
            Some("own_region") => RouteKind::OwnRegion,
            Some(_) => return Err(wrong(format!("{place}/kind"), "is no kind of route")),
        };
        let deadline_ms = number(item, "deadline-ms", place, 1000.0)?;
        if deadline_ms <= 0.0 {
            return Err(wrong(format!("{place}/deadline-ms"), "is 0"));
        }
        Ok(Channel {
            name: text(item, "name", place)?,
            database: item
                .pointer(["plant"])
                .and_then(|plant| plant.as_str())
                .unwrap_or_default()
                .to_string(),
            prefix: item
                .pointer(["path-prefix"])
                .and_then(|prefix| prefix.as_str())
                .unwrap_or("/")
                .to_string(),
            kind,
            deadline_ms,
            setpoint_ms: number(item, "setpoint-ms", place, deadline_ms)?.max(1.0),
            priority: number(item, "priority", place, 0.0)? as u32,
            service: text(item, "service", place)?,
            tries: number(item, "tries", place, 1.0)?.clamp(1.0, 16.0) as u32,
            staleness_bound_ms: number(item, "staleness-bound-ms", place, 0.0)?,
            share: match item.pointer([SHARE]) {
                None => String::new(),
                Some(_) => text(item, SHARE, place)?,
            },
        })
        .map(|channel| match channel.share.as_str() {
            "" => Channel { share: channel.default_share(), ..channel },
            _ => channel,
        })
    }

    /// What it counts as where the operator says nothing.
    fn default_share(&self) -> String {
        let kind = match self.kind {
            RouteKind::Primary => "primary",
            RouteKind::BoundedStaleness => "bounded_staleness",
            RouteKind::OwnRegion => "own_region",
        };
        format!("{kind}/{}", self.priority)
    }

    /// The weight of what it counts as where the operator says nothing: the higher the priority, the more.
    pub fn default_weight(&self) -> f64 {
        HIGHEST / (f64::from(self.priority) + 1.0)
    }
}

fn flag(item: &Value, field: &str, place: &str) -> Result<bool, ConfigError> {
    match item.pointer([field]) {
        None => Ok(true),
        Some(value) => {
            value.as_bool().ok_or_else(|| wrong(format!("{place}/{field}"), "is neither true nor false"))
        }
    }
}

impl Share {
    fn read(item: &Value, place: &str) -> Result<Self, ConfigError> {
        let part = |field: &str, otherwise: f64| {
            let part = number(item, field, place, otherwise)?;
            if part > 1.0 { Err(wrong(format!("{place}/{field}"), "is above 1")) } else { Ok(part) }
        };
        let share = Share {
            name: text(item, "name", place)?,
            weight: number(item, "weight", place, 1.0)?,
            min_fraction: part("least", 0.0)?,
            max_fraction: part("most", 1.0)?,
            lends: flag(item, "lends", place)?,
            borrows: flag(item, "borrows", place)?,
        };
        if share.min_fraction > share.max_fraction {
            return Err(wrong(format!("{place}/least"), "is above its most"));
        }
        Ok(share)
    }
}

impl Service {
    fn read(item: &Value, place: &str) -> Result<Self, ConfigError> {
        Ok(Service {
            name: text(item, "name", place)?,
            conn_limit: number(item, "conn-limit", place, 64.0)? as u32,
            sync_replicas: number(item, "sync-replicas", place, 0.0)? as u32,
        })
    }
}

impl Limits {
    fn read(item: &Value, place: &str) -> Result<Self, ConfigError> {
        let otherwise = Limits::default();
        Ok(Limits {
            header_wait_ms: number(item, "header-wait-ms", place, otherwise.header_wait_ms)?,
            idle_bound_ms: number(item, "idle-bound-ms", place, otherwise.idle_bound_ms)?,
            tx_idle_ms: number(item, "tx-idle-ms", place, otherwise.tx_idle_ms)?,
        })
    }
}

/// Reads the items of a list, each with its name, which no two share.
fn items<T>(
    list: Option<&Value>,
    place: &str,
    read: impl Fn(&Value, &str) -> Result<T, ConfigError>,
    name: impl Fn(&T) -> &str,
) -> Result<Vec<Item<T>>, ConfigError> {
    let Some(list) = list else { return Ok(Vec::new()) };
    let list = list.as_array().ok_or_else(|| wrong(place, "is no list"))?;
    let mut names = BTreeSet::new();
    let mut items = Vec::with_capacity(list.len());
    for (row, value) in list.iter().enumerate() {
        let place = format!("{place}/{row}");
        if value.get_type() != JsonType::Object {
            return Err(wrong(place, "is no object"));
        }
        let read = read(value, &place)?;
        if !names.insert(name(&read).to_string()) {
            return Err(wrong(place, "has a name that another one has"));
        }
        items.push(Item { sent: written(value), read });
    }
    Ok(items)
}

fn written(value: &Value) -> String {
    sonic_rs::to_string(value).unwrap_or_default()
}

fn document(body: &[u8]) -> Result<Value, ConfigError> {
    let document: Value = sonic_rs::from_slice(body).map_err(|fault| {
        ConfigError::Unreadable(fault.to_string().lines().next().unwrap_or_default().to_string())
    })?;
    if document.get_type() != JsonType::Object {
        return Err(ConfigError::Unreadable("it is no object".to_string()));
    }
    Ok(document)
}

fn revision(document: &Value) -> Result<u64, ConfigError> {
    document
        .pointer(["revision"])
        .and_then(|value| value.as_u64())
        .ok_or_else(|| wrong("/revision", "is no number"))
}

fn names(list: Option<&Value>, place: &str) -> Result<BTreeSet<String>, ConfigError> {
    let Some(list) = list else { return Ok(BTreeSet::new()) };
    let list = list.as_array().ok_or_else(|| wrong(place, "is no list"))?;
    list.iter()
        .map(|name| name.as_str().map(str::to_string).ok_or_else(|| wrong(place, "holds no name")))
        .collect()
}

/// Adds items, or replaces those of the same name in their places.
fn upsert<T>(into: &mut Vec<Item<T>>, items: Vec<Item<T>>, name: impl Fn(&T) -> &str) {
    let places: BTreeMap<String, usize> =
        into.iter().enumerate().map(|(place, item)| (name(&item.read).to_string(), place)).collect();
    for item in items {
        match places.get(name(&item.read)) {
            Some(&place) => into[place] = item,
            None => into.push(item),
        }
    }
}

/// The names of items that are not there any more, and the items that are new or differ, as they were sent.
fn changes<T>(
    before: &[Item<T>],
    after: &[Item<T>],
    name: impl Fn(&T) -> &str,
) -> (Vec<String>, Vec<String>) {
    let known: BTreeMap<&str, &str> =
        before.iter().map(|item| (name(&item.read), item.sent.as_str())).collect();
    let kept: BTreeSet<&str> = after.iter().map(|item| name(&item.read)).collect();
    let gone = known.keys().filter(|name| !kept.contains(*name));
    let gone = gone.map(|name| sonic_rs::to_string(name).unwrap_or_default()).collect();
    let differs = |item: &&Item<T>| known.get(name(&item.read)) != Some(&item.sent.as_str());
    (gone, after.iter().filter(differs).map(|item| item.sent.clone()).collect())
}

impl Configuration {
    /// A change of named items that leads from this configuration to another one, but for the order of items; none where only
    /// the whole of the other one does.
    pub fn difference(&self, next: &Configuration) -> Option<String> {
        let (mut remove, mut upsert) = (Vec::new(), Vec::new());
        let lists = [
            ("channels", changes(&self.channels, &next.channels, |channel| &channel.name)),
            ("services", changes(&self.services, &next.services, |service| &service.name)),
            (SHARES_FIELD, changes(&self.shares, &next.shares, |share| &share.name)),
        ];
        for (field, (gone, new)) in lists {
            remove.extend((!gone.is_empty()).then(|| format!("\"{field}\":[{}]", gone.join(","))));
            upsert.extend((!new.is_empty()).then(|| format!("\"{field}\":[{}]", new.join(","))));
        }
        if self.whole != next.whole {
            upsert.push(format!("\"{DIVISION}\":{}", !next.whole));
        }
        if let Some(limits) = next.limits.as_ref().filter(|limits| self.limits.as_ref() != Some(limits)) {
            upsert.push(format!("\"limits\":{}", limits.sent));
        }
        let body = format!(
            "{{\"revision\":{},\"upsert\":{{{}}},\"remove\":{{{}}}}}",
            next.revision,
            upsert.join(","),
            remove.join(",")
        );
        // Limits that went and fields that are not known here: named items do not lead there.
        let leads = self.adjust(body.as_bytes()).is_ok_and(|led| led.is_same(next));
        leads.then_some(body)
    }

    /// Whether two configurations allow the same: they may hold their items in another order.
    pub fn is_same(&self, other: &Configuration) -> bool {
        fn sorted<T>(items: &[Item<T>]) -> Vec<&str> {
            let mut sent: Vec<&str> = items.iter().map(|item| item.sent.as_str()).collect();
            sent.sort_unstable();
            sent
        }
        sorted(&self.channels) == sorted(&other.channels)
            && sorted(&self.services) == sorted(&other.services)
            && sorted(&self.shares) == sorted(&other.shares)
            && (self.revision, &self.limits, self.whole, &self.others)
                == (other.revision, &other.limits, other.whole, &other.others)
    }

    pub fn channels(&self) -> impl Iterator<Item = &Channel> {
        self.channels.iter().map(|item| &item.read)
    }

    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().map(|item| &item.read)
    }

    /// Whether pressed hosts are divided between kinds of requests.
    pub fn division_enabled(&self) -> bool {
        !self.whole
    }

    pub fn shares(&self) -> impl Iterator<Item = &Share> {
        self.shares.iter().map(|item| &item.read)
    }

    pub fn limits(&self) -> Limits {
        self.limits.as_ref().map(|item| item.read).unwrap_or_default()
    }

    /// Reads a whole configuration that is to take the place of this one.
    ///
    /// # Errors
    /// The first thing that makes it invalid.
    pub fn replace(&self, body: &[u8]) -> Result<Self, ConfigError> {
        let document = document(body)?;
        let mut new = Configuration { revision: revision(&document)?, ..Configuration::default() };
        let fields = document.as_object().into_iter().flat_map(|object| object.iter());
        for (field, value) in fields {
            let value: &Value = value;
            match field {
                "revision" => {}
                "channels" => {
                    new.channels = items(Some(value), "/channels", Channel::read, |channel| &channel.name)?;
                }
                "services" => {
                    new.services = items(Some(value), "/services", Service::read, |service| &service.name)?;
                }
                "limits" => {
                    let read = Limits::read(value, "/limits")?;
                    new.limits = Some(Item { sent: written(value), read });
                }
                DIVISION => {
                    new.whole = !value
                        .as_bool()
                        .ok_or_else(|| wrong("/arrowyard-division", "is neither true nor false"))?;
                }
                SHARES_FIELD => {
                    new.shares = items(Some(value), "/arrowyard-shares", Share::read, |share| &share.name)?;
                }
                _ => drop(new.others.insert(field.to_string(), written(value))),
            }
        }
        new.checked(self.revision)
    }

    /// Reads a change of named items of this one.
    ///
    /// # Errors
    /// The first thing that makes the change, or what it leads to, invalid.
    pub fn adjust(&self, body: &[u8]) -> Result<Self, ConfigError> {
        let document = document(body)?;
        let mut new = Configuration { revision: revision(&document)?, ..self.clone() };
        let at = |part: &str, list: &str| document.pointer([part, list]);
        for part in ["upsert", "remove"] {
            if document.pointer([part]).is_some_and(|value| value.get_type() != JsonType::Object) {
                return Err(wrong(format!("/{part}"), "is no object"));
            }
        }
        let gone = names(at("remove", "channels"), "/remove/channels")?;
        new.channels.retain(|item| !gone.contains(&item.read.name));
        let gone = names(at("remove", "services"), "/remove/services")?;
        new.services.retain(|item| !gone.contains(&item.read.name));
        let added =
            items(at("upsert", "channels"), "/upsert/channels", Channel::read, |channel| &channel.name)?;
        upsert(&mut new.channels, added, |channel| &channel.name);
        let added =
            items(at("upsert", "services"), "/upsert/services", Service::read, |service| &service.name)?;
        upsert(&mut new.services, added, |service| &service.name);
        let gone = names(at("remove", SHARES_FIELD), "/remove/arrowyard-shares")?;
        new.shares.retain(|item| !gone.contains(&item.read.name));
        let added =
            items(at("upsert", SHARES_FIELD), "/upsert/arrowyard-shares", Share::read, |share| &share.name)?;
        upsert(&mut new.shares, added, |share| &share.name);
        if let Some(value) = at("upsert", DIVISION) {
            let divides = value.as_bool();
            new.whole =
                !divides.ok_or_else(|| wrong("/upsert/arrowyard-division", "is neither true nor false"))?;
        }
        if let Some(limits) = at("upsert", "limits") {
            new.limits = Some(Item { sent: written(limits), read: Limits::read(limits, "/upsert/limits")? });
        }
        new.checked(self.revision)
    }

    fn checked(self, current: u64) -> Result<Self, ConfigError> {
        if self.revision <= current {
            return Err(ConfigError::Old(self.revision, current));
        }
        let services: BTreeSet<&str> = self.services().map(|service| service.name.as_str()).collect();
        let shares: BTreeSet<&str> = self.shares().map(|share| share.name.as_str()).collect();
        let mut places = BTreeSet::new();
        for (row, channel) in self.channels().enumerate() {
            if !services.contains(channel.service.as_str()) {
                return Err(wrong(format!("/channels/{row}/service"), "names a service that is not there"));
            }
            if !places.insert((channel.database.as_str(), channel.prefix.as_str())) {
                return Err(wrong(format!("/channels/{row}"), "has the host and prefix of another one"));
            }
            if channel.share != channel.default_share() && !shares.contains(channel.share.as_str()) {
                return Err(wrong(format!("/channels/{row}/{SHARE}"), "names a share that is not there"));
            }
        }
        let mut promised = 0.0;
        for (row, share) in self.shares().enumerate() {
            promised += share.min_fraction;
            if promised > 1.0 + 1e-9 {
                return Err(wrong(format!("/{SHARES_FIELD}/{row}/least"), "promises more than there is"));
            }
        }
        Ok(self)
    }

    /// The whole of it, as it would be sent.
    pub fn body(&self) -> String {
        fn list<T>(items: &[Item<T>]) -> String {
            items.iter().map(|item| item.sent.as_str()).collect::<Vec<_>>().join(",")
        }
        let mut fields = vec![
            format!("\"revision\":{}", self.revision),
            format!("\"channels\":[{}]", list(&self.channels)),
            format!("\"services\":[{}]", list(&self.services)),
        ];
        fields.extend(self.limits.iter().map(|limits| format!("\"limits\":{}", limits.sent)));
        if self.whole {
            fields.push(format!("\"{DIVISION}\":false"));
        }
        if !self.shares.is_empty() {
            fields.push(format!("\"{SHARES_FIELD}\":[{}]", list(&self.shares)));
        }
        for (name, value) in &self.others {
            fields.push(format!("{}:{value}", sonic_rs::to_string(name).unwrap_or_default()));
        }
        format!("{{{}}}", fields.join(","))
    }
}
