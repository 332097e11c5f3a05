//! Figures of an experiment, their goals and their output.

use super::deployment::Deployment;
use serde_json::{Map, Value, json};
use std::io;

/// Bound that all values of a figure must keep. Goals come from the design page, never from a
/// measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Goal {
    /// Every value must be at most this.
    AtMost(f64),
    /// Every value must be at least this.
    AtLeast(f64),
}

/// A measured quantity, usually with one value for each run.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// Name of the quantity.
    pub name: String,
    /// Unit of the values.
    pub unit: &'static str,
    /// Values in the order of the runs.
    pub values: Vec<f64>,
    /// Goal of the figure, if it has one.
    pub goal: Option<Goal>,
}

impl Figure {
    /// Returns the least, the median and the greatest value, or `None` if there are no values.
    #[must_use]
    pub fn summary(&self) -> Option<(f64, f64, f64)> {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        let (least, greatest) = (*sorted.first()?, *sorted.last()?);
        Some((least, quantile(&sorted, 0.5)?, greatest))
    }

    /// Returns whether all values meet the goal, or `None` if there is no goal or no value.
    #[must_use]
    pub fn is_met(&self) -> Option<bool> {
        let (least, _, greatest) = self.summary()?;
        Some(match self.goal? {
            Goal::AtMost(bound) => greatest <= bound,
            Goal::AtLeast(bound) => least >= bound,
        })
    }

    fn goal_text(&self) -> String {
        let verdict = match self.is_met() {
            Some(true) => "met",
            Some(false) => "missed",
            None => "not measured",
        };
        match self.goal {
            Some(Goal::AtMost(bound)) => format!("<= {bound} {verdict}"),
            Some(Goal::AtLeast(bound)) => format!(">= {bound} {verdict}"),
            None => String::new(),
        }
    }

    fn json(&self) -> Value {
        let summary = self.summary();
        let bound = self.goal.map(|goal| match goal {
            Goal::AtMost(bound) => format!("<= {bound}"),
            Goal::AtLeast(bound) => format!(">= {bound}"),
        });
        json!({
            "unit": self.unit,
            "min": summary.map(|(least, _, _)| rounded(least)),
            "median": summary.map(|(_, median, _)| rounded(median)),
            "max": summary.map(|(_, _, greatest)| rounded(greatest)),
            "values": self.values.len(),
            "goal": bound,
            "met": self.is_met(),
        })
    }
}

/// Returns the quantile `rank` (0 to 1) of sorted values by the nearest-rank method, or `None` if there
/// are no values.
#[must_use]
pub fn quantile(sorted: &[f64], rank: f64) -> Option<f64> {
    let nearest = (float(sorted.len()) * rank).ceil();
    let index = (1..sorted.len()).find(|&index| float(index) >= nearest);
    let index = index.unwrap_or(sorted.len()).checked_sub(1)?;
    sorted.get(index).copied()
}

/// Converts a count to a float. Counts of experiments are small enough to be exact.
#[must_use]
pub fn float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

/// Rounds to four significant digits, more than the precision of a measurement.
fn rounded(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap_or(value)
}

/// Figures and notes of an experiment.
#[derive(Debug)]
pub struct Report {
    name: String,
    deployment: Deployment,
    seed: u64,
    commit: String,
    /// Number of runs.
    pub runs: u64,
    figures: Vec<Figure>,
    notes: Vec<String>,
}

impl Report {
    /// Creates an empty report.
    #[must_use]
    pub const fn new(name: String, deployment: Deployment, seed: u64, commit: String) -> Self {
        Self {
            name,
            deployment,
            seed,
            commit,
            runs: 0,
            figures: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Adds a value to a figure. The report lists figures in the order of their first values.
    pub fn add(&mut self, name: &str, unit: &'static str, value: f64) {
        self.figure(name, unit).values.push(value);
    }

    /// Adds a value to a figure and sets the goal of the figure.
    pub fn add_with_goal(&mut self, name: &str, unit: &'static str, goal: Goal, value: f64) {
        let figure = self.figure(name, unit);
        figure.goal = Some(goal);
        figure.values.push(value);
    }

    /// Returns the figure of a name, which is added if it is missing.
    fn figure(&mut self, name: &str, unit: &'static str) -> &mut Figure {
        let known = self.figures.iter().position(|figure| figure.name == name);
        let index = known.unwrap_or(self.figures.len());
        if known.is_none() {
            self.figures.push(Figure {
                name: name.to_owned(),
                unit,
                values: Vec::new(),
                goal: None,
            });
        }
        &mut self.figures[index]
    }

    /// Adds a remark, for example on something that was not run.
    pub fn note(&mut self, text: String) {
        eprintln!("{}: {text}", self.name);
        self.notes.push(text);
    }

    /// Writes a table of the figures and the notes, and a JSON object as the last line.
    ///
    /// # Errors
    ///
    /// Returns an error if the output fails.
    pub fn print(&self, mut output: impl io::Write) -> io::Result<()> {
        writeln!(
            output,
            "{} {} seed {} commit {} runs {}",
            self.name, self.deployment, self.seed, self.commit, self.runs
        )?;
        writeln!(output, "| figure | unit | min | median | max | goal |")?;
        writeln!(output, "|---|---|---|---|---|---|")?;
        for figure in &self.figures {
            let (name, unit, goal) = (&figure.name, figure.unit, figure.goal_text());
            let Some((least, median, greatest)) = figure.summary() else {
                continue;
            };
            let (least, median, greatest) = (rounded(least), rounded(median), rounded(greatest));
            writeln!(
                output,
                "| {name} | {unit} | {least} | {median} | {greatest} | {goal} |"
            )?;
        }
        for note in &self.notes {
            writeln!(output, "note: {note}")?;
        }
        writeln!(output, "{}", self.json())
    }

    fn json(&self) -> Value {
        let figures = self.figures.iter();
        let figures: Map<String, Value> = figures
            .map(|figure| (figure.name.clone(), figure.json()))
            .collect();
        json!({
            "name": self.name,
            "deployment": self.deployment.to_string(),
            "seed": self.seed,
            "commit": self.commit,
            "runs": self.runs,
            "figures": figures,
            "notes": self.notes,
        })
    }
}
