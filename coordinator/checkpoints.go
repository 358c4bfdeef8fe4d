package coordinator

// keepCheckpoint records the checkpoint that a target has listed for a task, unless all
// checkpoints would take more than CheckpointMemory. The task then keeps its earlier one.
func (c *Coordinator) keepCheckpoint(tk *task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	more := int64(len(checkpoint) - len(tk.checkpoint))
	if more > 0 && c.CheckpointMemory > 0 && c.checkpointBytes+more > c.CheckpointMemory {
		c.Meter.Count("checkpoint", "memory")
		if !c.checkpointsFull {
			c.checkpointsFull = true
			c.Log.Warn("checkpoints take too much memory; further ones are not kept", "bytes", c.checkpointBytes, "limit", c.CheckpointMemory, "epoch", c.Epoch)
		}
		return
	}
	c.setCheckpoint(tk, checkpoint)
}

func (c *Coordinator) setCheckpoint(tk *task, checkpoint string) {
	c.checkpointBytes += int64(len(checkpoint) - len(tk.checkpoint))
	tk.checkpoint = checkpoint
	if c.checkpointBytes < c.CheckpointMemory/2 {
		c.checkpointsFull = false
	}
}
