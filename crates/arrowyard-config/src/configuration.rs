//! The operator configuration: a JSON document of routes, services, limits and shares. Fields that are not
//! known here are kept as they were sent.

use std::collections::{BTreeMap, BTreeSet};

use sonic_rs::{JsonContainerTrait, JsonType, JsonValueTrait, Value};

/// Field of the configuration that lists the [`Share`]s of request classes.
pub const SHARES_FIELD: &str = "arrowyard-shares";
/// Field of the configuration that disables the division of overloaded hosts if it is `false`.
pub const DIVISION_FIELD: &str = "arrowyard-division";
/// Field of a route that names the share of its requests.
const SHARE_FIELD: &str = "arrowyard-share";
/// Default weight of the highest priority.
const TOP_PRIORITY_WEIGHT: f64 = 4.0;

/// How fresh the data must be that a route reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Reads go to the primary.
    Primary,
    /// Reads go to replicas whose staleness is bounded.
    BoundedStaleness,
    /// Reads go to hosts that have the session's own commits (`own_region` in the configuration).
    ReadYourWrites,
}

/// A route from a database name to a service (an item of `channels` in the configuration).
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    /// Database name that clients open (`plant` in the configuration).
    pub database: String,
    /// Path prefix. Of the routes of one database, sessions use the one with the shortest prefix.
    pub prefix: String,
    pub kind: RouteKind,
    pub deadline_ms: f64,
    /// Latency target of a statement (`setpoint-ms` in the configuration).
    pub latency_target_ms: f64,
    /// Priority of its requests; 0 is the highest.
    pub priority: u32,
    pub service: String,
    /// Maximum number of attempts, including the first.
    pub tries: u32,
    pub staleness_bound_ms: f64,
    /// Name of the share that its requests use on overloaded hosts. Without `arrowyard-share` this is the
    /// kind and the priority, such as `primary/0`.
    pub share: String,
}

/// The share of a host's capacity that a class of requests receives while the host is overloaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    pub name: String,
    /// Relative weight, at least 0.
    pub weight: f64,
    /// Fraction of the capacity that is guaranteed if it is demanded, from 0 to 1.
    pub min_fraction: f64,
    /// Upper bound on the fraction of the capacity, from 0 to 1.
    pub max_fraction: f64,
    /// Whether other shares may use the guaranteed fraction while it is not demanded.
    pub lends: bool,
    /// Whether it may exceed the fraction given by its weight.
    pub borrows: bool,
}

/// A service: a primary and its replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    /// Connections that a host accepts from all clients together.
    pub conn_limit: u32,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// Timeouts of every session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Time to the first message of a session (`header-wait-ms`).
    pub first_message_timeout_ms: f64,
    /// Idle time outside of a transaction (`idle-bound-ms`).
    pub idle_timeout_ms: f64,
    /// Idle time inside of a transaction (`tx-idle-ms`).
    pub transaction_idle_timeout_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            first_message_timeout_ms: 3000.0,
            idle_timeout_ms: 15_000.0,
            transaction_idle_timeout_ms: 3000.0,
        }
    }
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum ConfigError {
    /// it cannot be read: {0}
    Unreadable(String),
    /// {0}: {1}
    Invalid(String, &'static str),
    /// revision: {0} is not above {1}, which is in place
    StaleRevision(u64, u64),
}

/// A parsed item with its JSON as it was sent.
#[derive(Clone, Debug, PartialEq)]
struct Item<T> {
    source: String,
    parsed: T,
}

/// A validated configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    pub revision: u64,
    routes: Vec<Item<Route>>,
    services: Vec<Item<Service>>,
    limits: Option<Item<Limits>>,
    shares: Vec<Item<Share>>,
    /// Whether overloaded hosts are not divided between shares.
    division_disabled: bool,
    /// JSON of fields that are not known here.
    unknown_fields: BTreeMap<String, String>,
}

fn invalid(path: impl Into<String>, what: &'static str) -> ConfigError {
    ConfigError::Invalid(path.into(), what)
}

fn required_string(item: &Value, field: &str, path: &str) -> Result<String, ConfigError> {
    match item.pointer([field]).and_then(|value| value.as_str()) {
        Some(text) if !text.is_empty() => Ok(text.to_string()),
        _ => Err(invalid(format!("{path}/{field}"), "is no text")),
    }
}

/// A finite number of at least 0; `default` if the field is missing.
fn non_negative_number(item: &Value, field: &str, path: &str, default: f64) -> Result<f64, ConfigError> {
    match item.pointer([field]) {
        None => Ok(default),
        Some(value) => match value.as_f64() {
            Some(number) if number >= 0.0 && number.is_finite() => Ok(number),
            _ => Err(invalid(format!("{path}/{field}"), "is no number from 0 on")),
        },
    }
}

impl Route {
    fn parse(item: &Value, path: &str) -> Result<Self, ConfigError> {
        let kind = match item.pointer(["kind"]).and_then(|kind| kind.as_str()) {
            Some("primary") | None => RouteKind::Primary,
            Some("bounded_staleness") => RouteKind::BoundedStaleness,
            Some("own_region") => RouteKind::ReadYourWrites,
            Some(_) => return Err(invalid(format!("{path}/kind"), "is no kind of route")),
        };
        let deadline_ms = non_negative_number(item, "deadline-ms", path, 1000.0)?;
        if deadline_ms <= 0.0 {
            return Err(invalid(format!("{path}/deadline-ms"), "is 0"));
        }
        Ok(Route {
            name: required_string(item, "name", path)?,
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
            latency_target_ms: non_negative_number(item, "setpoint-ms", path, deadline_ms)?.max(1.0),
            priority: non_negative_number(item, "priority", path, 0.0)? as u32,
            service: required_string(item, "service", path)?,
            tries: non_negative_number(item, "tries", path, 1.0)?.clamp(1.0, 16.0) as u32,
            staleness_bound_ms: non_negative_number(item, "staleness-bound-ms", path, 0.0)?,
            share: match item.pointer([SHARE_FIELD]) {
                None => String::new(),
                Some(_) => required_string(item, SHARE_FIELD, path)?,
            },
        })
        .map(|route| match route.share.as_str() {
            "" => Route { share: route.default_share(), ..route },
            _ => route,
        })
    }

    /// The name of the share without `arrowyard-share`.
    fn default_share(&self) -> String {
        let kind = match self.kind {
            RouteKind::Primary => "primary",
            RouteKind::BoundedStaleness => "bounded_staleness",
            RouteKind::ReadYourWrites => "own_region",
        };
        format!("{kind}/{}", self.priority)
    }

    /// The weight of the share without `arrowyard-share`, which decreases with the priority.
    pub fn default_weight(&self) -> f64 {
        TOP_PRIORITY_WEIGHT / (f64::from(self.priority) + 1.0)
    }
}

fn bool_or_true(item: &Value, field: &str, path: &str) -> Result<bool, ConfigError> {
    match item.pointer([field]) {
        None => Ok(true),
        Some(value) => {
            value.as_bool().ok_or_else(|| invalid(format!("{path}/{field}"), "is neither true nor false"))
        }
    }
}

impl Share {
    fn parse(item: &Value, path: &str) -> Result<Self, ConfigError> {
        let fraction = |field: &str, default: f64| {
            let fraction = non_negative_number(item, field, path, default)?;
            if fraction > 1.0 { Err(invalid(format!("{path}/{field}"), "is above 1")) } else { Ok(fraction) }
        };
        let share = Share {
            name: required_string(item, "name", path)?,
            weight: non_negative_number(item, "weight", path, 1.0)?,
            min_fraction: fraction("least", 0.0)?,
            max_fraction: fraction("most", 1.0)?,
            lends: bool_or_true(item, "lends", path)?,
            borrows: bool_or_true(item, "borrows", path)?,
        };
        if share.min_fraction > share.max_fraction {
            return Err(invalid(format!("{path}/least"), "is above its most"));
        }
        Ok(share)
    }
}

impl Service {
    fn parse(item: &Value, path: &str) -> Result<Self, ConfigError> {
        Ok(Service {
            name: required_string(item, "name", path)?,
            conn_limit: non_negative_number(item, "conn-limit", path, 64.0)? as u32,
            sync_replicas: non_negative_number(item, "sync-replicas", path, 0.0)? as u32,
        })
    }
}

impl Limits {
    fn parse(item: &Value, path: &str) -> Result<Self, ConfigError> {
        let default = Limits::default();
        Ok(Limits {
            first_message_timeout_ms: non_negative_number(
                item,
                "header-wait-ms",
                path,
                default.first_message_timeout_ms,
            )?,
            idle_timeout_ms: non_negative_number(item, "idle-bound-ms", path, default.idle_timeout_ms)?,
            transaction_idle_timeout_ms: non_negative_number(
                item,
                "tx-idle-ms",
                path,
                default.transaction_idle_timeout_ms,
            )?,
        })
    }
}

/// Parses a list of items with unique names.
fn parse_items<T>(
    list: Option<&Value>,
    path: &str,
    parse: impl Fn(&Value, &str) -> Result<T, ConfigError>,
    name: impl Fn(&T) -> &str,
) -> Result<Vec<Item<T>>, ConfigError> {
    let Some(list) = list else { return Ok(Vec::new()) };
    let list = list.as_array().ok_or_else(|| invalid(path, "is no list"))?;
    let mut names = BTreeSet::new();
    let mut items = Vec::with_capacity(list.len());
    for (index, value) in list.iter().enumerate() {
        let path = format!("{path}/{index}");
        if value.get_type() != JsonType::Object {
            return Err(invalid(path, "is no object"));
        }
        let parsed = parse(value, &path)?;
        if !names.insert(name(&parsed).to_string()) {
            return Err(invalid(path, "has a name that another one has"));
        }
        items.push(Item { source: to_json(value), parsed });
    }
    Ok(items)
}

fn to_json(value: &Value) -> String {
    sonic_rs::to_string(value).unwrap_or_default()
}

fn parse_document(body: &[u8]) -> Result<Value, ConfigError> {
    let document: Value = sonic_rs::from_slice(body).map_err(|error| {
        ConfigError::Unreadable(error.to_string().lines().next().unwrap_or_default().to_string())
    })?;
    if document.get_type() != JsonType::Object {
        return Err(ConfigError::Unreadable("it is no object".to_string()));
    }
    Ok(document)
}

fn parse_revision(document: &Value) -> Result<u64, ConfigError> {
    document
        .pointer(["revision"])
        .and_then(|value| value.as_u64())
        .ok_or_else(|| invalid("/revision", "is no number"))
}

fn parse_names(list: Option<&Value>, path: &str) -> Result<BTreeSet<String>, ConfigError> {
    let Some(list) = list else { return Ok(BTreeSet::new()) };
    let list = list.as_array().ok_or_else(|| invalid(path, "is no list"))?;
    list.iter()
        .map(|name| name.as_str().map(str::to_string).ok_or_else(|| invalid(path, "holds no name")))
        .collect()
}

/// Appends items, or replaces those of the same name without changing their order.
fn upsert<T>(into: &mut Vec<Item<T>>, items: Vec<Item<T>>, name: impl Fn(&T) -> &str) {
    let positions: BTreeMap<String, usize> =
        into.iter().enumerate().map(|(index, item)| (name(&item.parsed).to_string(), index)).collect();
    for item in items {
        match positions.get(name(&item.parsed)) {
            Some(&index) => into[index] = item,
            None => into.push(item),
        }
    }
}

/// The JSON of the names of removed items, and the JSON of new and changed items.
fn changed_items<T>(
    before: &[Item<T>],
    after: &[Item<T>],
    name: impl Fn(&T) -> &str,
) -> (Vec<String>, Vec<String>) {
    let known: BTreeMap<&str, &str> =
        before.iter().map(|item| (name(&item.parsed), item.source.as_str())).collect();
    let kept: BTreeSet<&str> = after.iter().map(|item| name(&item.parsed)).collect();
    let removed = known.keys().filter(|name| !kept.contains(*name));
    let removed = removed.map(|name| sonic_rs::to_string(name).unwrap_or_default()).collect();
    let differs = |item: &&Item<T>| known.get(name(&item.parsed)) != Some(&item.source.as_str());
    (removed, after.iter().filter(differs).map(|item| item.source.clone()).collect())
}

impl Configuration {
    /// The body of an adjustment that leads from this configuration to `next`, except for the order of
    /// items. `None` if only a replacement leads there.
    pub fn difference(&self, next: &Configuration) -> Option<String> {
        let (mut remove, mut upsert) = (Vec::new(), Vec::new());
        let lists = [
            ("channels", changed_items(&self.routes, &next.routes, |route| &route.name)),
            ("services", changed_items(&self.services, &next.services, |service| &service.name)),
            (SHARES_FIELD, changed_items(&self.shares, &next.shares, |share| &share.name)),
        ];
        for (field, (removed, new)) in lists {
            remove.extend((!removed.is_empty()).then(|| format!("\"{field}\":[{}]", removed.join(","))));
            upsert.extend((!new.is_empty()).then(|| format!("\"{field}\":[{}]", new.join(","))));
        }
        if self.division_disabled != next.division_disabled {
            upsert.push(format!("\"{DIVISION_FIELD}\":{}", !next.division_disabled));
        }
        if let Some(limits) = next.limits.as_ref().filter(|limits| self.limits.as_ref() != Some(limits)) {
            upsert.push(format!("\"limits\":{}", limits.source));
        }
        let body = format!(
            "{{\"revision\":{},\"upsert\":{{{}}},\"remove\":{{{}}}}}",
            next.revision,
            upsert.join(","),
            remove.join(",")
        );
        // An adjustment can neither remove limits nor change unknown fields.
        let reaches_next = self.adjust(body.as_bytes()).is_ok_and(|adjusted| adjusted.is_equivalent(next));
        reaches_next.then_some(body)
    }

    /// Whether two configurations differ at most in the order of their items.
    pub fn is_equivalent(&self, other: &Configuration) -> bool {
        fn sorted<T>(items: &[Item<T>]) -> Vec<&str> {
            let mut sources: Vec<&str> = items.iter().map(|item| item.source.as_str()).collect();
            sources.sort_unstable();
            sources
        }
        sorted(&self.routes) == sorted(&other.routes)
            && sorted(&self.services) == sorted(&other.services)
            && sorted(&self.shares) == sorted(&other.shares)
            && (self.revision, &self.limits, self.division_disabled, &self.unknown_fields)
                == (other.revision, &other.limits, other.division_disabled, &other.unknown_fields)
    }

    /// The routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter().map(|item| &item.parsed)
    }

    /// The services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().map(|item| &item.parsed)
    }

    /// Whether overloaded hosts are divided between shares.
    pub fn division_enabled(&self) -> bool {
        !self.division_disabled
    }

    /// The shares that the operator configured.
    pub fn shares(&self) -> impl Iterator<Item = &Share> {
        self.shares.iter().map(|item| &item.parsed)
    }

    /// The session timeouts.
    pub fn limits(&self) -> Limits {
        self.limits.as_ref().map(|item| item.parsed).unwrap_or_default()
    }

    /// Parses a full configuration that replaces this one.
    ///
    /// # Errors
    /// The first fault found.
    pub fn replace(&self, body: &[u8]) -> Result<Self, ConfigError> {
        let document = parse_document(body)?;
        let mut new = Configuration { revision: parse_revision(&document)?, ..Configuration::default() };
        let fields = document.as_object().into_iter().flat_map(|object| object.iter());
        for (field, value) in fields {
            let value: &Value = value;
            match field {
                "revision" => {}
                "channels" => {
                    new.routes = parse_items(Some(value), "/channels", Route::parse, |route| &route.name)?;
                }
                "services" => {
                    new.services =
                        parse_items(Some(value), "/services", Service::parse, |service| &service.name)?;
                }
                "limits" => {
                    let parsed = Limits::parse(value, "/limits")?;
                    new.limits = Some(Item { source: to_json(value), parsed });
                }
                DIVISION_FIELD => {
                    new.division_disabled = !value
                        .as_bool()
                        .ok_or_else(|| invalid("/arrowyard-division", "is neither true nor false"))?;
                }
                SHARES_FIELD => {
                    new.shares =
                        parse_items(Some(value), "/arrowyard-shares", Share::parse, |share| &share.name)?;
                }
                _ => drop(new.unknown_fields.insert(field.to_string(), to_json(value))),
            }
        }
        new.validated(self.revision)
    }

    /// Applies an adjustment, which adds, replaces and removes named items.
    ///
    /// # Errors
    /// The first fault found in the adjustment or in the resulting configuration.
    pub fn adjust(&self, body: &[u8]) -> Result<Self, ConfigError> {
        let document = parse_document(body)?;
        let mut new = Configuration { revision: parse_revision(&document)?, ..self.clone() };
        let field = |part: &str, name: &str| document.pointer([part, name]);
        for part in ["upsert", "remove"] {
            if document.pointer([part]).is_some_and(|value| value.get_type() != JsonType::Object) {
                return Err(invalid(format!("/{part}"), "is no object"));
            }
        }
        let removed = parse_names(field("remove", "channels"), "/remove/channels")?;
        new.routes.retain(|item| !removed.contains(&item.parsed.name));
        let removed = parse_names(field("remove", "services"), "/remove/services")?;
        new.services.retain(|item| !removed.contains(&item.parsed.name));
        let added =
            parse_items(field("upsert", "channels"), "/upsert/channels", Route::parse, |route| &route.name)?;
        upsert(&mut new.routes, added, |route| &route.name);
        let added =
            parse_items(field("upsert", "services"), "/upsert/services", Service::parse, |service| {
                &service.name
            })?;
        upsert(&mut new.services, added, |service| &service.name);
        let removed = parse_names(field("remove", SHARES_FIELD), "/remove/arrowyard-shares")?;
        new.shares.retain(|item| !removed.contains(&item.parsed.name));
        let added =
            parse_items(field("upsert", SHARES_FIELD), "/upsert/arrowyard-shares", Share::parse, |share| {
                &share.name
            })?;
        upsert(&mut new.shares, added, |share| &share.name);
        if let Some(value) = field("upsert", DIVISION_FIELD) {
            let divides = value.as_bool();
            new.division_disabled =
                !divides.ok_or_else(|| invalid("/upsert/arrowyard-division", "is neither true nor false"))?;
        }
        if let Some(limits) = field("upsert", "limits") {
            new.limits =
                Some(Item { source: to_json(limits), parsed: Limits::parse(limits, "/upsert/limits")? });
        }
        new.validated(self.revision)
    }

    /// Checks references between items and that the revision is above the current one.
    fn validated(self, current: u64) -> Result<Self, ConfigError> {
        if self.revision <= current {
            return Err(ConfigError::StaleRevision(self.revision, current));
        }
        let services: BTreeSet<&str> = self.services().map(|service| service.name.as_str()).collect();
        let shares: BTreeSet<&str> = self.shares().map(|share| share.name.as_str()).collect();
        let mut matched = BTreeSet::new();
        for (index, route) in self.routes().enumerate() {
            if !services.contains(route.service.as_str()) {
                return Err(invalid(
                    format!("/channels/{index}/service"),
                    "names a service that is not there",
                ));
            }
            if !matched.insert((route.database.as_str(), route.prefix.as_str())) {
                return Err(invalid(format!("/channels/{index}"), "has the host and prefix of another one"));
            }
            if route.share != route.default_share() && !shares.contains(route.share.as_str()) {
                return Err(invalid(
                    format!("/channels/{index}/{SHARE_FIELD}"),
                    "names a share that is not there",
                ));
            }
        }
        let mut total_min_fraction = 0.0;
        for (index, share) in self.shares().enumerate() {
            total_min_fraction += share.min_fraction;
            if total_min_fraction > 1.0 + 1e-9 {
                return Err(invalid(format!("/{SHARES_FIELD}/{index}/least"), "promises more than there is"));
            }
        }
        Ok(self)
    }

    /// The JSON of the full configuration.
    pub fn body(&self) -> String {
        fn joined<T>(items: &[Item<T>]) -> String {
            items.iter().map(|item| item.source.as_str()).collect::<Vec<_>>().join(",")
        }
        let mut fields = vec![
            format!("\"revision\":{}", self.revision),
            format!("\"channels\":[{}]", joined(&self.routes)),
            format!("\"services\":[{}]", joined(&self.services)),
        ];
        fields.extend(self.limits.iter().map(|limits| format!("\"limits\":{}", limits.source)));
        if self.division_disabled {
            fields.push(format!("\"{DIVISION_FIELD}\":false"));
        }
        if !self.shares.is_empty() {
            fields.push(format!("\"{SHARES_FIELD}\":[{}]", joined(&self.shares)));
        }
        for (name, value) in &self.unknown_fields {
            fields.push(format!("{}:{value}", sonic_rs::to_string(name).unwrap_or_default()));
        }
        format!("{{{}}}", fields.join(","))
    }
}
