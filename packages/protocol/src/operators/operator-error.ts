import {failureCodeSchema} from '@basilworks/core';
import {z} from 'zod';

/** Body of every operator answer that is not a success. */
export const operatorErrorSchema = z.object({
  error: z.object({
    code: failureCodeSchema,
    message: z.string(),
  }),
});
export type OperatorError = z.infer<typeof operatorErrorSchema>;
