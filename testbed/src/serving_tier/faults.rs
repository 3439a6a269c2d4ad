//! The faults of a run: those of [`Faults::OneOfEach`], in their time, and the drawn series of a soak.
use super::history::Disturbance;
use super::machines::{Machine, Role};
use super::operator::configuration;
use super::run::{FIRST_VERSION, Faults, OPERATOR_TIMEOUT, QUIET_TAIL_SHARE, Stage};
use super::soak::{Fault, Schedule, Step, Trouble};
use super::start_faults::FirstStart;
use crate::fleet::FleetError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// From an acknowledgement until a configuration must be in force.
const CONFIGURATION_APPLY_DELAY: Duration = Duration::from_secs(2);
/// How long the platform refuses to serve the list.
const LIST_LIMITED_TIME: Duration = Duration::from_secs(1);
/// How long a killed storage machine is away.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// From the loss of power of all machines until they start again.
const POWER_LOSS_TIME: Duration = Duration::from_millis(600);

impl Stage {
    /// The faults of the plan.
    pub(super) async fn run_faults(&self, began: Instant) -> Result<(), FleetError> {
        let disk_loss = began + Duration::from_secs_f64(self.plan.seconds * 0.35);
        match self.plan.faults {
            Faults::OneOfEach => self.one_of_each(began).await,
            Faults::Soak(Trouble::Day) => {
                tokio::try_join!(self.soak(Trouble::Day), self.lose_a_disk(disk_loss)).map(drop)
            }
            Faults::Soak(trouble) => self.soak(trouble).await,
        }
    }

    /// The end of a day: one machine loses its disk as all machines lose their power.
    pub(super) async fn lose_power_and_a_disk(&self) -> Result<(), FleetError> {
        let (role, number) = match self.plan.seed % 2 {
            0 => (Role::StorageNode, 0),
            _ => (Role::ControlNode, 0),
        };
        self.tier.kill_all().await;
        let machine = self.tier.machine(role, number).lock().await;
        machine.wipe().await?;
        self.recorder.event(format!("all machines lost their power, and {} its disk", machine.name));
        drop(machine);
        sleep(POWER_LOSS_TIME).await;
        self.tier.start_again().await
    }

    /// A fault of each kind, in its time.
    async fn one_of_each(&self, began: Instant) -> Result<(), FleetError> {
        let at = |share: f64| began + Duration::from_secs_f64(self.plan.seconds * share);
        tokio::try_join!(
            async {
                sleep_until(at(0.2)).await;
                if self.operator.put(9, FIRST_VERSION, configuration(9, true), OPERATOR_TIMEOUT).await {
                    sleep(CONFIGURATION_APPLY_DELAY).await;
                    self.clients.lookups.store(true, Ordering::Relaxed);
                }
                Ok::<_, FleetError>(())
            },
            self.lose_a_disk(at(0.35)),
            self.restart_a_proxy(at(0.5)),
            async {
                sleep_until(at(0.6)).await;
                self.recorder.event("an endpoint begins anew at its address");
                self.endpoints[0].restart_as_new_incarnation().await;
                self.recorder.event("the platform tells no list for a while");
                self.platform.limited.store(true, Ordering::Relaxed);
                sleep(LIST_LIMITED_TIME).await;
                self.platform.limited.store(false, Ordering::Relaxed);
                Ok(())
            },
        )?;
        Ok(())
    }

    fn schedule(&self, trouble: Trouble) -> Schedule {
        let length = Duration::from_secs_f64(self.plan.seconds * (1.0 - QUIET_TAIL_SHARE));
        Schedule::draw(self.plan.seed, trouble, &self.tier.processes(), length)
    }

    /// How each process goes through its first start.
    pub(super) fn first_starts(&self) -> Vec<FirstStart> {
        match self.plan.faults {
            Faults::OneOfEach => vec![FirstStart::default(); self.tier.machines.len()],
            Faults::Soak(trouble) => self.schedule(trouble).first_starts,
        }
    }

    /// Series of faults on all processes side by side, changes of the configuration and new incarnations of endpoints.
    async fn soak(&self, trouble: Trouble) -> Result<(), FleetError> {
        let schedule = self.schedule(trouble);
        let series =
            schedule.series.iter().map(|(role, number, steps)| self.run_series(*role, *number, steps));
        let series = futures_util::future::try_join_all(series);
        let (series, (), ()) = tokio::join!(
            series,
            self.change_configurations(&schedule.configurations),
            self.restart_endpoints(&schedule.incarnations),
        );
        series.map(drop)
    }

    /// The faults of one process, one after another.
    async fn run_series(&self, role: Role, number: usize, steps: &[Step]) -> Result<(), FleetError> {
        let machine = self.tier.machine(role, number);
        for step in steps {
            sleep(step.gap).await;
            let mut machine = machine.lock().await;
            if machine.crashed() {
                self.tier.note_crash(&machine).await;
                machine.start()?;
            }
            let from = self.recorder.now();
            self.recorder.event(format!("{}: {:?}", machine.name, step.fault));
            self.apply(&mut machine, step.fault).await?;
            let is_failure = matches!(step.fault, Fault::Kill { .. } | Fault::Pause { .. });
            if is_failure && role == Role::RequestProxy {
                let (of, until) = (self.front.address(number).into(), self.recorder.now());
                self.recorder.lock().disturbances.push(Disturbance { of, from, until });
            }
        }
        Ok(())
    }

    async fn apply(&self, machine: &mut Machine, fault: Fault) -> Result<(), FleetError> {
        match fault {
            Fault::Reload => machine.reload(),
            Fault::Restart { down } => {
                self.terminate(machine).await;
                sleep(down).await;
                machine.start()?;
            }
            Fault::Kill { down } => {
                machine.kill().await;
                sleep(down).await;
                machine.start()?;
            }
            Fault::Pause { time } => {
                machine.pause();
                sleep(time).await;
                machine.resume();
            }
            Fault::Start(fault) => {
                let grace = Duration::from_secs_f64(self.plan.grace_s);
                let late = machine.go_through(fault, grace).await?;
                self.tier.late_ends.lock().await.extend(late);
            }
        }
        Ok(())
    }

    async fn change_configurations(&self, gaps: &[Duration]) {
        let mut current = FIRST_VERSION;
        for gap in gaps {
            sleep(*gap).await;
            let next = current + 1;
            // A change without a clear answer is sent again unchanged.
            if self.operator.put(next, current, configuration(next, true), OPERATOR_TIMEOUT).await {
                current = next;
            }
        }
    }

    async fn restart_endpoints(&self, gaps: &[Duration]) {
        for (index, gap) in gaps.iter().enumerate() {
            sleep(*gap).await;
            let endpoint = &self.endpoints[index % self.endpoints.len()];
            self.recorder.event(format!("{} begins anew at its address", endpoint.instance()));
            endpoint.restart_as_new_incarnation().await;
        }
    }

    /// SIGTERM, and a note if the process does not end within its time.
    async fn terminate(&self, machine: &mut Machine) {
        if !machine.terminate(Duration::from_secs_f64(self.plan.grace_s)).await {
            let late = format!("{} did not end in its time:\n{}", machine.name, machine.last_lines(5));
            self.tier.late_ends.lock().await.push(late);
        }
    }

    async fn lose_a_disk(&self, at: Instant) -> Result<(), FleetError> {
        sleep_until(at).await;
        let mut machine = self.tier.machine(Role::StorageNode, 1).lock().await;
        machine.kill().await;
        machine.wipe().await?;
        self.recorder.event(format!("{} was killed and lost its disk", machine.name));
        sleep(RESTART_DELAY).await;
        machine.start()?;
        self.recorder.event(format!("{} starts on an empty disk", machine.name));
        Ok(())
    }

    async fn restart_a_proxy(&self, at: Instant) -> Result<(), FleetError> {
        sleep_until(at).await;
        let mut machine = self.tier.machine(Role::RequestProxy, 0).lock().await;
        self.recorder.event(format!("{} gets SIGTERM", machine.name));
        self.terminate(&mut machine).await;
        machine.start()?;
        self.recorder.event(format!("{} starts again", machine.name));
        Ok(())
    }
}
