// Kinds of machines that the cloud offers: a type in a zone, as spot machine or not.
import type { ZoneName } from '../../types/index.ts';
import type { MachineType } from '../base/model.ts';

/** A kind of machine. */
export interface MachineOffer {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** A key for maps, the same for equal offers. */
export const offerKey = ({ type, zone, spot }: MachineOffer): string =>
  `${type.name}/${zone}/${spot ? 'spot' : 'on-demand'}`;
