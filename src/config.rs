//! The configuration: the platform's JSON, or TOML for people, both by one schema. Above a TOML file stand variables of
//! the environment whose names begin with `MICADRUM_`: `MICADRUM_LIMITS__DISK_MB=3` sets `limits.disk_mb`. The
//! platform's file is all that it says.
use crate::profile::Profile;
use crate::wire::Targets;
use figment::Figment;
use figment::providers::{Env, Format, Json, Toml};
use figment::value::magic::Tagged;
use jsonschema::error::ValidationErrorKind;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What variables of the environment begin with that stand above the file.
pub const PREFIX: &str = "MICADRUM_";
/// What separates the parts of a key in their names.
const SEPARATOR: &str = "__";

/// What a sender is told.
#[derive(Deserialize, JsonSchema)]
pub struct Config {
    /// Where clients connect, as `ADDRESS:PORT`.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// The second address, where staff's calls come; `$PROXY_MGMT` where it is not given.
    #[schemars(with = "Option<String>")]
    pub mgmt: Option<SocketAddr>,
    /// Where discovery is, and the platform that takes notices.
    #[schemars(with = "String")]
    pub discovery: SocketAddr,
    /// For random numbers, as up to 16 hexadecimal digits; new with each start.
    #[schemars(regex(pattern = "^[0-9a-fA-F]{1,16}$"))]
    pub seed: String,
    /// What the process may use.
    pub limits: Limits,
    /// The list of endpoints as this sender had it last; it may be old, or empty.
    pub known: Targets,
    /// How to treat messages, destinations and the rules.
    pub settings: Profile,
    /// The senders that this one knows; without it, it knows none.
    pub fleet: Option<Fleet>,
    /// The log on standard error; without it, the bare lines from `info` up.
    pub log: Option<Log>,
}

/// The log on standard error.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Lines of this level and above are told: `error`, `warn`, `info` or `debug`. Taken up at SIGHUP.
    pub level: Level,
    /// `plain` (the bare lines), `text` (with time and level), `logfmt` or `json`.
    pub form: Form,
    /// Lines a second that one place in the code may write, by and large; 0 for no bound.
    pub a_second: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: Level::Info, form: Form::Text, a_second: 10 }
    }
}

impl Log {
    /// The log of a configuration that says nothing of it.
    pub fn bare() -> Self {
        Self { form: Form::Plain, a_second: 0, ..Self::default() }
    }
}

/// How much a line of the log matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Something does not work, and staff have to act.
    Error,
    /// Something went wrong, and the sender deals with it.
    Warn,
    /// What changed.
    Info,
    /// What one looks for when looking for a cause.
    Debug,
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// The message and its fields, nothing else.
    Plain,
    /// Time, level, message, fields.
    Text,
    /// `key=value`, all of it.
    Logfmt,
    /// One JSON object a line.
    Json,
}

/// A fleet of senders that know one another. `docs/fleet.md` has what each promises.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name, the same at all; nothing of any other fleet is listened to.
    pub name: String,
    /// This sender's own name, which no other has, and which stays the same after a restart.
    pub member: String,
    /// Where peers connect and send datagrams, as `ADDRESS:PORT`.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where peers are told that it is; `listen` where it is not given.
    #[schemars(with = "Option<String>")]
    pub advertise: Option<SocketAddr>,
    /// 2 to 9 of the fleet's addresses, the same ones in the same order at all. Its first start needs all of these senders.
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The zone that it stands in; that of the settings where it is not given.
    pub zone: Option<String>,
    /// The machine that it stands on: what is lost together has the same label.
    pub machine: String,
    /// How many senders agree on who belongs, once there are so many; an odd number from 3 to 9, 5 where it is not given.
    pub keepers: Option<usize>,
    /// One that is suspected has so many milliseconds to object; 4,000 where it is not given.
    pub suspect_ms: Option<u64>,
    /// Whether it leaves the fleet for good at SIGTERM.
    #[serde(default)]
    pub leave: bool,
}

impl Fleet {
    /// What it says, as the machines take it; `zone` is that of the settings.
    pub fn settings(&self, zone: &str) -> sender_membership::Settings {
        let info = sender_membership::Info {
            name: self.member.clone(),
            zone: self.zone.clone().unwrap_or_else(|| zone.to_owned()),
            machine: self.machine.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            address: self.advertise.unwrap_or(self.listen),
        };
        let mut settings = sender_membership::Settings::new(&self.name, info, self.seeds.clone());
        settings.voters = self.keepers.unwrap_or(settings.voters);
        settings.suspect = self.suspect_ms.unwrap_or(settings.suspect);
        settings
    }
}

/// What the process may use.
#[derive(Deserialize, JsonSchema)]
pub struct Limits {
    /// Size of the lasting folder, in MB.
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub disk_mb: f64,
    /// Memory, in MB. Where it is not given, the disk and the descriptors alone bound what is held.
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub memory_mb: Option<f64>,
    /// Descriptors.
    #[schemars(range(min = 1))]
    pub sockets: usize,
}

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("configuration {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It does not hold what it must.
    #[error("configuration {path}: {source}")]
    NotConfig {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A file or the environment cannot be read as what it is.
    #[error("configuration {path}: {source}")]
    Layers {
        /// The file.
        path: PathBuf,
        /// What is wrong, and in which of them.
        source: Box<figment::Error>,
    },
    /// A TOML file has keys that are not known.
    #[error("configuration {path}: keys that are not known: {}; `message-sender check` tells all faults", keys.join(", "))]
    Unknown {
        /// The file.
        path: PathBuf,
        /// The keys.
        keys: Vec<String>,
    },
    /// The part on the fleet has figures that no fleet can have.
    #[error("configuration {path}: fleet: {}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Fleet {
        /// The file.
        path: PathBuf,
        /// All that is wrong.
        faults: Vec<sender_membership::SettingsError>,
    },
    /// `$PROXY_MGMT` holds no address.
    #[error("$PROXY_MGMT: {0:?} is no address")]
    Mgmt(OsString),
}

/// Something wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where: the key's path, as `settings.lanes[1].aim`.
    pub place: String,
    /// What is wrong there.
    pub what: String,
    /// What belongs there, where that is known.
    pub mend: Option<String>,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let place = if self.place.is_empty() { "(the whole)" } else { &self.place };
        write!(f, "{place}: {}", self.what)?;
        match &self.mend {
            Some(mend) => write!(f, " (wanted: {mend})"),
            None => Ok(()),
        }
    }
}

fn is_toml(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension.eq_ignore_ascii_case("toml"))
}

/// The file, with the environment above it where it is TOML.
fn layers(path: &Path) -> Figment {
    if is_toml(path) {
        return Figment::from(Toml::file_exact(path)).merge(Env::prefixed(PREFIX).split(SEPARATOR));
    }
    Figment::from(Json::file_exact(path))
}

/// All values, as they stand in the file and its layers.
fn value(path: &Path) -> Result<Value, ConfigError> {
    if is_toml(path) {
        let error = |e| ConfigError::Layers { path: path.to_owned(), source: Box::new(e) };
        return layers(path).extract().map_err(error);
    }
    let text =
        std::fs::read(path).map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
    serde_json::from_slice(&text).map_err(|source| ConfigError::NotConfig { path: path.to_owned(), source })
}

/// Reads a configuration: its values as they stand, and what they mean. Where it has several faults, the first is told.
pub fn read(path: &Path) -> Result<(Value, Config), ConfigError> {
    let value = value(path)?;
    let error = |source| ConfigError::NotConfig { path: path.to_owned(), source };
    let mut config: Config = if is_toml(path) {
        let mut keys = Vec::new();
        let config = serde_ignored::deserialize(&value, |key| keys.push(key.to_string())).map_err(error)?;
        if !keys.is_empty() {
            return Err(ConfigError::Unknown { path: path.to_owned(), keys });
        }
        config
    } else {
        Config::deserialize(&value).map_err(error)?
    };
    if let Some(fleet) = &config.fleet {
        let faults = fleet.settings(config.settings.zone()).faults();
        if !faults.is_empty() {
            return Err(ConfigError::Fleet { path: path.to_owned(), faults });
        }
    }
    if config.mgmt.is_none()
        && let Some(address) = std::env::var_os("PROXY_MGMT").filter(|address| !address.is_empty())
    {
        let parsed = address.to_str().and_then(|address| address.parse().ok());
        config.mgmt = Some(parsed.ok_or(ConfigError::Mgmt(address))?);
    }
    Ok((value, config))
}

/// What a look at a whole configuration found.
#[derive(Debug, Default)]
pub struct Checked {
    /// What keeps it from being used.
    pub errors: Vec<Problem>,
    /// Keys that nothing here needs: a slip of the pen in TOML, often the platform's own in JSON.
    pub unknown: Vec<Problem>,
}

/// Looks a configuration over, all of it; an error tells why it cannot be read at all.
pub fn check(path: &Path) -> Result<Checked, ConfigError> {
    let mut checked = inspect(&value(path)?);
    if is_toml(path) {
        checked.errors.append(&mut checked.unknown);
    }
    Ok(checked)
}

/// The schema of a configuration, as JSON Schema 2020-12.
pub fn schema() -> Value {
    schemars::schema_for!(Config).to_value()
}

/// Has each object of a schema refuse keys that it does not name.
fn close(schema: &mut Value) {
    if let Some(object) = schema.as_object_mut() {
        if object.contains_key("properties") {
            object.insert("additionalProperties".to_owned(), Value::Bool(false));
        }
        object.values_mut().for_each(close);
    } else if let Some(list) = schema.as_array_mut() {
        list.iter_mut().for_each(close);
    }
}

/// A JSON pointer as a path of keys.
fn place(pointer: &str) -> String {
    let mut place = String::new();
    for part in pointer.split('/').skip(1) {
        let part = part.replace("~1", "/").replace("~0", "~");
        if part.bytes().all(|b| b.is_ascii_digit()) && !place.is_empty() {
            place.push_str(&format!("[{part}]"));
        } else {
            place.push_str(if place.is_empty() { "" } else { "." });
            place.push_str(&part);
        }
    }
    place
}

fn inspect(value: &Value) -> Checked {
    let mut closed = schema();
    close(&mut closed);
    let mut checked = Checked::default();
    let validator = match jsonschema::draft202012::new(&closed) {
        Ok(validator) => validator,
        // The schema is the program's own: that it can be used is shown by the tests.
        Err(e) => {
            let what = format!("the program's own schema: {e}");
            checked.errors.push(Problem { place: String::new(), what, mend: None });
            return checked;
        }
    };
    for error in validator.iter_errors(value) {
        let at = place(error.instance_path().as_str());
        if let ValidationErrorKind::AdditionalProperties { unexpected } = error.kind() {
            for key in unexpected {
                let place = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
                checked.unknown.push(Problem {
                    place,
                    what: "not a key that is known".to_owned(),
                    mend: None,
                });
            }
            continue;
        }
        let mend = described(&closed, error.schema_path().as_str());
        checked.errors.push(Problem { place: at, what: error.to_string(), mend });
    }
    if checked.errors.is_empty() {
        checked.errors.extend(meaning(value));
    }
    checked
}

/// What the schema says of the place that was violated.
fn described(schema: &Value, path: &str) -> Option<String> {
    let mut path = path;
    while let Some((parent, _)) = path.rsplit_once('/') {
        let text = schema.pointer(parent).and_then(|at| at.get("description")).and_then(Value::as_str);
        if let Some(text) = text {
            return Some(text.lines().collect::<Vec<_>>().join(" "));
        }
        path = parent;
    }
    None
}

/// What no schema can say: figures that must fit each other.
fn meaning(value: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut add = |place: &str, what: String| {
        problems.push(Problem { place: place.to_owned(), what, mend: None });
    };
    for key in ["listen", "mgmt", "discovery"] {
        if let Some(text) = value.get(key).and_then(Value::as_str)
            && text.parse::<SocketAddr>().is_err()
        {
            add(key, format!("{text:?} is no address with a port, as 10.0.0.4:5000"));
        }
    }
    let same = value.get("listen").zip(value.get("mgmt")).filter(|(a, b)| a == b);
    if let Some((address, _)) =
        same.filter(|(address, _)| !address.as_str().is_some_and(|a| a.ends_with(":0")))
    {
        add("mgmt", format!("{address} is where clients connect: the second address is another"));
    }
    if let Some(fleet) = value.get("fleet").filter(|fleet| !fleet.is_null()) {
        let zone = value.pointer("/settings/zone").and_then(Value::as_str).unwrap_or_default();
        match Fleet::deserialize(fleet) {
            Ok(fleet) => {
                fleet.settings(zone).faults().iter().for_each(|fault| add("fleet", fault.to_string()))
            }
            Err(e) => add("fleet", e.to_string()),
        }
    }
    match Profile::deserialize(value.get("settings").unwrap_or(&Value::Null)) {
        Ok(profile) => {
            if let Err(e) = profile.settings(&profile.names()) {
                add("settings", e);
            }
        }
        Err(e) => add("settings", e.to_string()),
    }
    if let Err(e) = Targets::deserialize(value.get("known").unwrap_or(&Value::Null)) {
        add("known", e.to_string());
    }
    problems
}

/// One value that holds, and where it is from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effective {
    /// The key's path.
    pub key: String,
    /// The value, as JSON; secrets are not told.
    pub value: String,
    /// The file, or the environment's variable.
    pub origin: String,
}

/// Values that are told to nobody.
const SECRETS: [&str; 1] = ["seed"];

/// All values that hold, with their origins; lists as a whole.
pub fn effective(path: &Path) -> Result<Vec<Effective>, ConfigError> {
    let layers_error = |e| ConfigError::Layers { path: path.to_owned(), source: Box::new(e) };
    let layers = layers(path);
    let values: Value = layers.extract().map_err(layers_error)?;
    let mut all = Vec::new();
    if let Value::Object(values) = &values {
        leaves(values, "", &mut |key, value| {
            let secret = SECRETS.contains(&key);
            let text = if secret { "(not shown)".to_owned() } else { value.to_string() };
            all.push(Effective { key: key.to_owned(), value: text, origin: origin(&layers, path, key) });
        });
    }
    let mgmt = std::env::var("PROXY_MGMT").ok().filter(|address| !address.is_empty());
    if let Some(address) = mgmt.filter(|_| values.get("mgmt").is_none_or(Value::is_null)) {
        let origin = "environment: PROXY_MGMT".to_owned();
        all.push(Effective { key: "mgmt".to_owned(), value: Value::String(address).to_string(), origin });
    }
    Ok(all)
}

fn leaves(values: &Map<String, Value>, above: &str, tell: &mut impl FnMut(&str, &Value)) {
    for (key, value) in values {
        let path = if above.is_empty() { key.clone() } else { format!("{above}.{key}") };
        match value {
            Value::Object(inner) => leaves(inner, &path, tell),
            value => tell(&path, value),
        }
    }
}

fn origin(layers: &Figment, path: &Path, key: &str) -> String {
    let tagged = layers.extract_inner::<Tagged<figment::value::Value>>(key);
    let metadata = tagged.ok().and_then(|tagged| layers.get_metadata(tagged.tag()).cloned());
    match metadata {
        Some(from) if from.source.as_ref().is_some_and(|source| source.file_path().is_some()) => {
            format!("file: {}", path.display())
        }
        Some(_) => format!("environment: {PREFIX}{}", key.to_uppercase().replace('.', SEPARATOR)),
        None => "default".to_owned(),
    }
}

/// A whole configuration in TOML, with what each key means.
pub const EXAMPLE: &str = include_str!("../deploy/example.toml");
