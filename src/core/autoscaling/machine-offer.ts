// The machine offers of the cloud: a machine type in a zone, either spot or on-demand.
import type { ZoneName } from '../../types/index.ts';
import type { MachineType } from '../base/model.ts';

/** A machine type in one zone, either spot or on-demand. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** A key for maps; equal offers have the same key. */
export const offerKey = ({ type, zone, spot }: MachineOffer): string =>
  `${type.name}/${zone}/${spot ? 'spot' : 'on-demand'}`;
