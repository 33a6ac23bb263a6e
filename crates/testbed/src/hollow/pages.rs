//! Lines fitted through runs of several sizes, and their picture.

use crate::hollow::costs::{Role, RoleCost};
use crate::hollow::report::HollowReport;
use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};
use plotters::prelude::*;
use std::path::Path;

/// A figure of a role, and how it is read from a run.
type Figure = (&'static str, Role, fn(&RoleCost) -> f64);

const FIGURES: [Figure; 6] = [
    ("node: core %", Role::Node, |cost| cost.core * 100.0),
    ("node: KB/s", Role::Node, |cost| cost.bytes / 1e3),
    ("node: MB", Role::Node, |cost| cost.node_bytes / 1e6),
    ("collector: core %", Role::Collector, |cost| {
        cost.core * 100.0
    }),
    ("collector: KB/s", Role::Collector, |cost| cost.bytes / 1e3),
    ("tail: core %", Role::Tail, |cost| cost.core * 100.0),
];

/// Fits a line through each figure over the fleet's size, prints it with what is left over, and draws all.
pub fn plot(runs: &[HollowReport], picture: &Path) -> Result<String, String> {
    let mut text =
        String::from("figure                 at none  a node     at 370     left over, by run\n");
    let root = SVGBackend::new(picture, (1000, 900)).into_drawing_area();
    root.fill(&WHITE).map_err(|fault| fault.to_string())?;
    for ((what, role, read), area) in FIGURES.iter().zip(root.split_evenly((3, 2))) {
        let points: Vec<(f64, f64)> = runs
            .iter()
            .filter_map(|run| Some((f64::from(run.rules.nodes), read(run.roles.get(role)?))))
            .collect();
        let (xs, ys): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
        let data = RegressionDataBuilder::new()
            .build_from([("y", ys), ("x", xs)])
            .map_err(|why| why.to_string())?;
        let model = FormulaRegressionBuilder::new()
            .data(&data)
            .formula("y ~ x")
            .fit()
            .map_err(|why| why.to_string())?;
        let [none, slope] = model.parameters()[..] else {
            return Err("a line has two parameters".into());
        };
        let left: Vec<String> = model
            .residuals()
            .iter()
            .map(|left| format!("{left:+.3}"))
            .collect();
        let at = none + slope * 370.0;
        text += &format!(
            "{what:20} {none:>9.3} {slope:>9.5} {at:>10.3}     {}\n",
            left.join(" ")
        );
        let top = points.iter().map(|(_, y)| *y).fold(at.max(none), f64::max) * 1.1 + 1e-9;
        let mut request_state = ChartBuilder::on(&area)
            .caption(what, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(26)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..400.0, 0.0..top)
            .map_err(|fault| fault.to_string())?;
        request_state
            .configure_mesh()
            .x_desc("nodes")
            .draw()
            .map_err(|fault| fault.to_string())?;
        let dots = points
            .iter()
            .map(|point| Circle::new(*point, 3, BLUE.filled()));
        request_state
            .draw_series(dots)
            .map_err(|fault| fault.to_string())?;
        let line = LineSeries::new([(0.0, none), (400.0, none + slope * 400.0)], RED);
        request_state
            .draw_series(line)
            .map_err(|fault| fault.to_string())?;
    }
    root.present().map_err(|fault| fault.to_string())?;
    Ok(text)
}
