//! The command line of the sender, for operators. `message-sender` executes this program if it is given arguments, and
//! the `run` command executes `message-sender`.
use clap::{Parser, Subcommand};
use message_sender::config::{self, CheckReport, ConfigError};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Accepts messages from clients and delivers each to an endpoint of its destination.
///
/// Without a command, runs the sender with the configuration $PROXY_CONFIG and the state directory $PROXY_STATE.
#[derive(Parser)]
#[command(name = "message-sender", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the sender until SIGTERM; SIGHUP reloads the configuration.
    Run {
        /// Configuration file, in TOML if its extension is `.toml`, else in JSON; defaults to $PROXY_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
        /// State directory, kept between runs; defaults to $PROXY_STATE.
        #[arg(long)]
        state: Option<PathBuf>,
    },
    /// Validates a configuration and lists all errors with their keys. Exits with code 2 if it is invalid.
    Check {
        /// Configuration file; defaults to $PROXY_CONFIG.
        file: Option<PathBuf>,
    },
    /// Shows or changes the fleet's membership through a running sender.
    Fleet {
        /// Admin address of the sender; defaults to $PROXY_MGMT.
        #[arg(long = "at", global = true, value_name = "AT")]
        admin_address: Option<SocketAddr>,
        /// Prints the response as JSON.
        #[arg(long, global = true)]
        json: bool,
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Shows the values of a configuration, the schema or an example.
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Prints every value in effect with its origin.
    Show {
        /// Configuration file; defaults to $PROXY_CONFIG.
        file: Option<PathBuf>,
    },
    /// Prints the JSON Schema of the configuration.
    Schema,
    /// Prints a complete TOML configuration with comments.
    Example,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// Lists the members with their health, as this sender sees them.
    View,
    /// Lists current and former members, as agreed by the voters.
    Roster,
    /// Lists the voters, which agree on the membership.
    Keepers,
    /// Prints a digest of view and roster: senders with the same digest see the same fleet.
    Mark,
    /// Removes a member from the fleet.
    Remove {
        /// Name of the member.
        name: String,
    },
    /// Removes this sender from the fleet permanently.
    Leave,
    /// Restores the fleet from the state of this sender after a majority of the voters is lost for good. Run it on one
    /// sender only.
    Refound,
}

/// Timeout for connecting to a sender and for its response: a change that voters agree on takes up to 8 s.
const FLEET_TIMEOUT: Duration = Duration::from_secs(12);

/// Exit code if a command fails, for instance because the configuration is invalid.
const EXIT_FAILURE: u8 = 2;

#[derive(Debug, thiserror::Error)]
enum CliError {
    #[error("no configuration file: pass FILE or set $PROXY_CONFIG")]
    NoFile,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot start message-sender in the directory of this program: {0}")]
    Start(std::io::Error),
    #[error("no admin address of a sender: pass --at ADDRESS:PORT or set $PROXY_MGMT")]
    NoAdminAddress,
    #[error("sender at {address}: {source}")]
    Unreachable { address: SocketAddr, source: std::io::Error },
    #[error("{0}")]
    Rejected(String),
    #[error("writing the output: {0}")]
    Output(#[from] std::io::Error),
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        None => run(None, None),
        Some(Command::Run { config, state }) => run(config, state),
        Some(Command::Check { file }) => check(file),
        Some(Command::Fleet { admin_address, json, command }) => {
            fleet(admin_address, json, command).map(|()| ExitCode::SUCCESS)
        }
        Some(Command::Config { command }) => show(command).map(|()| ExitCode::SUCCESS),
    };
    result.unwrap_or_else(|e| {
        eprintln!("message-sender: {e}");
        ExitCode::from(EXIT_FAILURE)
    })
}

/// Replaces this process by the sender. A configuration given on the command line is validated first, so that all its
/// errors are printed.
fn run(config: Option<PathBuf>, state: Option<PathBuf>) -> Result<ExitCode, CliError> {
    let executable = std::env::current_exe().map_err(CliError::Start)?;
    let mut sender = std::process::Command::new(executable.with_file_name("message-sender"));
    if let Some(config) = config {
        let report = config::check(&config)?;
        if !report.errors.is_empty() {
            print_report(&mut std::io::stderr().lock(), &report)?;
            return Ok(ExitCode::from(EXIT_FAILURE));
        }
        sender.env("PROXY_CONFIG", config);
    }
    if let Some(state) = state {
        sender.env("PROXY_STATE", state);
    }
    Err(CliError::Start(sender.exec()))
}

fn print_report(out: &mut impl Write, report: &CheckReport) -> std::io::Result<()> {
    for problem in &report.unknown_keys {
        writeln!(out, "warning: {problem}")?;
    }
    for problem in &report.errors {
        writeln!(out, "error: {problem}")?;
    }
    Ok(())
}

fn config_file(file: Option<PathBuf>) -> Result<PathBuf, CliError> {
    file.or_else(|| std::env::var_os("PROXY_CONFIG").map(PathBuf::from)).ok_or(CliError::NoFile)
}

fn check(file: Option<PathBuf>) -> Result<ExitCode, CliError> {
    let file = config_file(file)?;
    let report = config::check(&file)?;
    let mut out = std::io::stdout().lock();
    print_report(&mut out, &report)?;
    let is_valid = report.errors.is_empty();
    let verdict = if is_valid { "is valid" } else { "is invalid" };
    writeln!(out, "{} {verdict}", file.display())?;
    Ok(if is_valid { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILURE) })
}

fn fleet(admin_address: Option<SocketAddr>, json: bool, command: FleetCommand) -> Result<(), CliError> {
    let from_environment = std::env::var("PROXY_MGMT").ok().and_then(|address| address.parse().ok());
    let address = admin_address.or(from_environment).ok_or(CliError::NoAdminAddress)?;
    let request = match command {
        FleetCommand::View => "view".to_owned(),
        FleetCommand::Roster => "roster".to_owned(),
        FleetCommand::Keepers => "keepers".to_owned(),
        FleetCommand::Mark => "mark".to_owned(),
        FleetCommand::Remove { name } => format!("remove {name}"),
        FleetCommand::Leave => "leave".to_owned(),
        FleetCommand::Refound => "refound".to_owned(),
    };
    let response =
        send_request(address, &request).map_err(|source| CliError::Unreachable { address, source })?;
    let Some(text) = response.strip_prefix("done").map(str::trim) else {
        return Err(CliError::Rejected(response.trim_start_matches("error ").to_owned()));
    };
    let mut out = std::io::stdout().lock();
    let value: Value = if text.is_empty() { Value::Null } else { serde_json::from_str(text)? };
    match value {
        Value::Null => writeln!(out, "done")?,
        value if json => writeln!(out, "{value}")?,
        value => write!(out, "{}", format_table(&value))?,
    }
    Ok(())
}

/// Sends a fleet request to a sender's admin endpoint and returns the response line.
fn send_request(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, FLEET_TIMEOUT)?;
    stream.set_read_timeout(Some(FLEET_TIMEOUT))?;
    stream.write_all(format!("fleet {request}\n").as_bytes())?;
    let mut response = String::new();
    BufReader::new(stream).read_line(&mut response)?;
    Ok(response.trim_end().to_owned())
}

/// Formats a JSON object for people: a list of objects as a table, any other value as a line.
fn format_table(value: &Value) -> String {
    let cell_text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut text = String::new();
    for (key, value) in value.as_object().into_iter().flatten() {
        let rows: Vec<_> = value.as_array().into_iter().flatten().filter_map(Value::as_object).collect();
        let Some(first) = rows.first() else {
            text.push_str(&format!("{key}: {}\n", cell_text(value)));
            continue;
        };
        text.push_str(&format!("{key}:\n"));
        let names: Vec<&String> = first.keys().collect();
        let mut lines: Vec<Vec<String>> = vec![names.iter().map(|name| (*name).clone()).collect()];
        lines.extend(rows.iter().map(|row| names.iter().map(|name| cell_text(&row[*name])).collect()));
        let width =
            |column: usize| lines.iter().map(|line| line[column].chars().count()).max().unwrap_or_default();
        let widths: Vec<usize> = (0..names.len()).map(width).collect();
        for line in &lines {
            let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            text.push_str(&format!("  {}\n", cells.collect::<Vec<_>>().join("  ").trim_end()));
        }
    }
    text
}

fn show(command: ConfigCommand) -> Result<(), CliError> {
    let mut out = std::io::stdout().lock();
    match command {
        ConfigCommand::Show { file } => {
            for value in config::effective_values(&config_file(file)?)? {
                writeln!(out, "{} = {}  # {}", value.key, value.value, value.origin)?;
            }
        }
        ConfigCommand::Schema => writeln!(out, "{}", serde_json::to_string_pretty(&config::schema())?)?,
        ConfigCommand::Example => write!(out, "{}", config::EXAMPLE)?,
    }
    Ok(())
}
