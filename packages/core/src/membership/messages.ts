import {z} from 'zod';

/** Tells a peer that the sender leaves; it gets no new work from now on. */
const hostLeavingSchema = z.object({type: z.literal('host-leaving')});

/** Messages between entry hosts that the membership area handles. */
export const membershipMessageSchemas = [hostLeavingSchema] as const;
