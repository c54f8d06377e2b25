// Fits a straight line to points by least squares.

/** A line, and how well it fits the points. */
export interface Line {
  slope: number;
  intercept: number;
  /** Root mean square of the deviations from the line, as a fraction of the mean of all y. */
  residual: number;
}

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fits a line to the points; it has slope 0 if all of them have the same x. */
export function fitLine(points: readonly { x: number; y: number }[]): Line {
  const meanX = meanOf(points.map(({ x }) => x));
  const meanY = meanOf(points.map(({ y }) => y));
  const varianceX = meanOf(points.map(({ x }) => (x - meanX) ** 2));
  const covariance = meanOf(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const intercept = meanY - slope * meanX;
  const rmsDeviation = Math.sqrt(meanOf(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)));
  return { slope, intercept, residual: meanY === 0 ? 0 : rmsDeviation / Math.abs(meanY) };
}
