//! What a person can ask of the sender. `message-sender` becomes this program where it is given any word, and this one
//! becomes `message-sender` to run.
use clap::{Parser, Subcommand};
use message_sender::config::{self, Checked, ConfigError};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Takes messages on from clients and delivers each to its partner's endpoints.
///
/// Without a command it runs, as $PROXY_CONFIG and $PROXY_STATE say.
#[derive(Parser)]
#[command(name = "message-sender", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs until SIGTERM; SIGHUP has the configuration read again.
    Run {
        /// The configuration, in JSON or (by its ending) TOML; without it $PROXY_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
        /// The folder that outlasts the process; without it $PROXY_STATE.
        #[arg(long)]
        state: Option<PathBuf>,
    },
    /// Looks a configuration over: all that is wrong, with its place. Exit code 2 if it cannot be used.
    Check {
        /// The file; without it $PROXY_CONFIG.
        file: Option<PathBuf>,
    },
    /// Asks a running sender for what it knows of its fleet, or to change it.
    Fleet {
        /// The second address of the sender; without it $PROXY_MGMT.
        #[arg(long, global = true)]
        at: Option<SocketAddr>,
        /// The answer as JSON, for programs.
        #[arg(long, global = true)]
        json: bool,
        #[command(subcommand)]
        what: FleetCall,
    },
    /// Shows configurations.
    Config {
        #[command(subcommand)]
        what: Configs,
    },
}

#[derive(Subcommand)]
enum Configs {
    /// Every value that holds, and where it is from.
    Show {
        /// The file; without it $PROXY_CONFIG.
        file: Option<PathBuf>,
    },
    /// The schema, as JSON Schema.
    Schema,
    /// A whole configuration in TOML with comments, to begin with.
    Example,
}

#[derive(Subcommand)]
enum FleetCall {
    /// Members, and whether they answer.
    View,
    /// Who belongs, and who did.
    Roster,
    /// Who agrees on that.
    Keepers,
    /// A short sign of view and roster: senders that print the same one see the same fleet.
    Mark,
    /// A member does not belong any more.
    Remove {
        /// Its name.
        name: String,
    },
    /// This sender leaves for good.
    Leave,
    /// A majority of the keepers is lost for good: goes on from what this sender has. Ask one sender only.
    Refound,
}

/// How long a sender may take for an answer: what keepers agree on takes up to 8 s.
const FLEET_PATIENCE: Duration = Duration::from_secs(12);

/// The configuration cannot be used, or not be read.
const UNUSABLE: u8 = 2;

#[derive(Debug, thiserror::Error)]
enum ShellError {
    #[error("no file is given, and $PROXY_CONFIG is not set")]
    NoFile,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("starting the sender, which is to lie beside this program: {0}")]
    Sender(std::io::Error),
    #[error("no sender is named: --at ADDRESS:PORT, its second address, or $PROXY_MGMT")]
    NoSender,
    #[error("asking {address}: {source}")]
    Unreached { address: SocketAddr, source: std::io::Error },
    #[error("{0}")]
    Refused(String),
    #[error("the answer: {0}")]
    Out(#[from] std::io::Error),
    #[error("the schema: {0}")]
    Schema(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    let answered = match Cli::parse().command {
        None => run(None, None),
        Some(Command::Run { config, state }) => run(config, state),
        Some(Command::Check { file }) => check(file),
        Some(Command::Fleet { at, json, what }) => fleet(at, json, what).map(|()| ExitCode::SUCCESS),
        Some(Command::Config { what }) => show(what).map(|()| ExitCode::SUCCESS),
    };
    answered.unwrap_or_else(|e| {
        eprintln!("message-sender: {e}");
        ExitCode::from(UNUSABLE)
    })
}

/// Becomes the sender. A file that a person names is checked first, whole.
fn run(config: Option<PathBuf>, state: Option<PathBuf>) -> Result<ExitCode, ShellError> {
    let own = std::env::current_exe().map_err(ShellError::Sender)?;
    let mut sender = std::process::Command::new(own.with_file_name("message-sender"));
    if let Some(config) = config {
        let checked = config::check(&config)?;
        if !checked.errors.is_empty() {
            tell(&mut std::io::stderr().lock(), &checked)?;
            return Ok(ExitCode::from(UNUSABLE));
        }
        sender.env("PROXY_CONFIG", config);
    }
    if let Some(state) = state {
        sender.env("PROXY_STATE", state);
    }
    Err(ShellError::Sender(sender.exec()))
}

fn tell(out: &mut impl Write, checked: &Checked) -> std::io::Result<()> {
    for problem in &checked.unknown {
        writeln!(out, "warning: {problem}")?;
    }
    for problem in &checked.errors {
        writeln!(out, "error: {problem}")?;
    }
    Ok(())
}

fn named(file: Option<PathBuf>) -> Result<PathBuf, ShellError> {
    file.or_else(|| std::env::var_os("PROXY_CONFIG").map(PathBuf::from)).ok_or(ShellError::NoFile)
}

fn check(file: Option<PathBuf>) -> Result<ExitCode, ShellError> {
    let file = named(file)?;
    let checked = config::check(&file)?;
    let mut out = std::io::stdout().lock();
    tell(&mut out, &checked)?;
    let usable = checked.errors.is_empty();
    let word = if usable { "can be used" } else { "cannot be used" };
    writeln!(out, "{} {word}", file.display())?;
    Ok(if usable { ExitCode::SUCCESS } else { ExitCode::from(UNUSABLE) })
}

fn fleet(at: Option<SocketAddr>, json: bool, what: FleetCall) -> Result<(), ShellError> {
    let told = std::env::var("PROXY_MGMT").ok().and_then(|address| address.parse().ok());
    let address = at.or(told).ok_or(ShellError::NoSender)?;
    let call = match what {
        FleetCall::View => "view".to_owned(),
        FleetCall::Roster => "roster".to_owned(),
        FleetCall::Keepers => "keepers".to_owned(),
        FleetCall::Mark => "mark".to_owned(),
        FleetCall::Remove { name } => format!("remove {name}"),
        FleetCall::Leave => "leave".to_owned(),
        FleetCall::Refound => "refound".to_owned(),
    };
    let answer = ask(address, &call).map_err(|source| ShellError::Unreached { address, source })?;
    let Some(text) = answer.strip_prefix("done").map(str::trim) else {
        return Err(ShellError::Refused(answer.trim_start_matches("error ").to_owned()));
    };
    let mut out = std::io::stdout().lock();
    let value: Value = if text.is_empty() { Value::Null } else { serde_json::from_str(text)? };
    match value {
        Value::Null => writeln!(out, "done")?,
        value if json => writeln!(out, "{value}")?,
        value => write!(out, "{}", table(&value))?,
    }
    Ok(())
}

/// The answer of a sender to a call on its fleet.
fn ask(address: SocketAddr, call: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, FLEET_PATIENCE)?;
    stream.set_read_timeout(Some(FLEET_PATIENCE))?;
    stream.write_all(format!("fleet {call}\n").as_bytes())?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer)?;
    Ok(answer.trim_end().to_owned())
}

/// For people: what stands alone a line each, what stands in a list a row each.
fn table(value: &Value) -> String {
    let word = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut text = String::new();
    for (key, value) in value.as_object().into_iter().flatten() {
        let rows: Vec<_> = value.as_array().into_iter().flatten().filter_map(Value::as_object).collect();
        let Some(first) = rows.first() else {
            text.push_str(&format!("{key}: {}\n", word(value)));
            continue;
        };
        text.push_str(&format!("{key}:\n"));
        let names: Vec<&String> = first.keys().collect();
        let mut lines: Vec<Vec<String>> = vec![names.iter().map(|name| (*name).clone()).collect()];
        lines.extend(rows.iter().map(|row| names.iter().map(|name| word(&row[*name])).collect()));
        let width = |at: usize| lines.iter().map(|line| line[at].chars().count()).max().unwrap_or_default();
        let widths: Vec<usize> = (0..names.len()).map(width).collect();
        for line in &lines {
            let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            text.push_str(&format!("  {}\n", cells.collect::<Vec<_>>().join("  ").trim_end()));
        }
    }
    text
}

fn show(what: Configs) -> Result<(), ShellError> {
    let mut out = std::io::stdout().lock();
    match what {
        Configs::Show { file } => {
            for value in config::effective(&named(file)?)? {
                writeln!(out, "{} = {}  # {}", value.key, value.value, value.origin)?;
            }
        }
        Configs::Schema => writeln!(out, "{}", serde_json::to_string_pretty(&config::schema())?)?,
        Configs::Example => write!(out, "{}", config::EXAMPLE)?,
    }
    Ok(())
}
