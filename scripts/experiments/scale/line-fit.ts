// A straight line through points, by least squares.

/** A line, and how well it fits. */
export interface Line {
  slope: number;
  intercept: number;
  /** Root mean square of what the line misses, as a part of the mean. */
  residual: number;
}

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** The line through these points; flat if they are all at one place. */
export function fitLine(points: readonly { x: number; y: number }[]): Line {
  const meanX = meanOf(points.map(({ x }) => x));
  const meanY = meanOf(points.map(({ y }) => y));
  const varianceX = meanOf(points.map(({ x }) => (x - meanX) ** 2));
  const covariance = meanOf(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const intercept = meanY - slope * meanX;
  const missed = Math.sqrt(meanOf(points.map(({ x, y }) => (y - intercept - slope * x) ** 2)));
  return { slope, intercept, residual: meanY === 0 ? 0 : missed / Math.abs(meanY) };
}
