//! Report of a run: tables as Markdown and plots as SVG.

use std::fs;
use std::path::Path;

use anyhow::Context;

use crate::plot::{self, Plot};
use crate::policies::Extent;

/// Tables and plots of a run, in order of their addition.
pub(crate) struct Report {
    extent: Extent,
    sections: Vec<String>,
    plots: Vec<Plot>,
}

/// Median and worst value of a figure over the seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Figure {
    pub(crate) median: f64,
    pub(crate) worst: f64,
}

impl Figure {
    /// Figure of values of which a lower one is better.
    pub(crate) fn lower_is_better(values: impl IntoIterator<Item = f64>) -> Figure {
        let values = sorted(values);
        Figure { median: values[values.len() / 2], worst: values[values.len() - 1] }
    }

    /// Figure of values of which a higher one is better.
    pub(crate) fn higher_is_better(values: impl IntoIterator<Item = f64>) -> Figure {
        let values = sorted(values);
        Figure { median: values[values.len() / 2], worst: values[0] }
    }

    /// Formats the median and, in brackets, the worst value, with `digits` decimal places.
    pub(crate) fn show(&self, digits: usize) -> String {
        format!("{:.digits$} ({:.digits$})", self.median, self.worst)
    }
}

fn sorted(values: impl IntoIterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.into_iter().collect();
    assert!(!values.is_empty(), "a figure needs the value of at least one seed");
    values.sort_by(f64::total_cmp);
    values
}

/// Table cell that says whether a target is met.
pub(crate) fn verdict(is_met: bool) -> &'static str {
    if is_met { "met" } else { "missed" }
}

impl Report {
    pub(crate) fn new(extent: Extent) -> Report {
        Report { extent, sections: Vec::new(), plots: Vec::new() }
    }

    /// Adds a section with a heading, a text and a table.
    pub(crate) fn table(&mut self, heading: &str, text: &str, head: &[&str], rows: &[Vec<String>]) {
        let mut section = format!("## {heading}\n\n{text}\n\n");
        section.push_str(&format!("| {} |\n", head.join(" | ")));
        section.push_str(&format!("|{}\n", "---|".repeat(head.len())));
        for row in rows {
            section.push_str(&format!("| {} |\n", row.join(" | ")));
        }
        self.sections.push(section);
    }

    /// Adds a plot.
    pub(crate) fn plot(&mut self, plot: Plot) {
        self.plots.push(plot);
    }

    pub(crate) fn markdown(&self) -> String {
        let Extent { seconds, seeds } = self.extent;
        let mut text = format!(
            "# Measurements of the request policies\n\n\
             Written by `cargo run --release -p bench -- policies --seconds {seconds} --seeds {seeds} \
             --out docs/measurements`\n(traces of {seconds} s, seeds 1 to {seeds}; virtual clock: the \
             same figures every time). Each figure is the median over the seeds,\nwith the worst in \
             brackets. The traces, engines and delays are those of `bench/src/workload.rs`,\n\
             `standins::engine` and `bench/src/simulation.rs`. `docs/design/routing.md` and \
             `docs/design/fairness.md` draw the conclusions.\n\n",
        );
        text.push_str(&self.sections.join("\n"));
        if !self.plots.is_empty() {
            text.push_str("\n## Plots\n\n");
        }
        for plot in &self.plots {
            text.push_str(&format!("![{}]({}.svg)\n", plot.title, plot.name));
        }
        text
    }

    /// Writes `policies.md` and the plots into a folder, which is created if absent.
    pub(crate) fn write(&self, folder: &Path) -> anyhow::Result<()> {
        fs::create_dir_all(folder).with_context(|| format!("create {}", folder.display()))?;
        let page = folder.join("policies.md");
        fs::write(&page, self.markdown()).with_context(|| format!("write {}", page.display()))?;
        for plot in &self.plots {
            plot::draw(plot, &folder.join(format!("{}.svg", plot.name)))?;
        }
        Ok(())
    }
}
