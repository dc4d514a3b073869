package capacity

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
)

// measureGroups measures a poll of all group records, and the memory of the
// decoded records.
func measureGroups(ctx context.Context, report *Report) error {
	bytes := Series{Section: "groups", Name: "poll of unchanged records", Unit: "bytes", Per: "groups", Target: targetGroups}
	changed := Series{Section: "groups", Name: "poll after a change", Unit: "bytes", Per: "groups", Target: targetGroups}
	processor := Series{Section: "groups", Name: "poll of unchanged records, stand-in included", Unit: "us", Per: "groups", Target: targetGroups}
	memory := Series{Section: "groups", Name: "memory of the records", Unit: "bytes", Per: "groups", Target: targetGroups}
	for _, size := range []int{60, 200, targetGroups} {
		service, err := startPlatform()
		if err != nil {
			return err
		}
		if err := putGroups(service, size); err != nil {
			return err
		}
		cost, err := service.measureCall(func() error { return scanGroups(ctx, service) })
		if err != nil {
			return err
		}
		recordsMemory := groupRecordsMemory(ctx, service, size)
		service.close()
		bytes.Points = append(bytes.Points, Point{float64(size), cost.bytes})
		changed.Points = append(changed.Points, Point{float64(size), cost.firstBytes})
		processor.Points = append(processor.Points, Point{float64(size), cost.processor})
		memory.Points = append(memory.Points, Point{float64(size), recordsMemory})
	}
	return addAll(report, bytes, changed, processor, memory)
}

// putGroups stores count group records on the platform stand-in.
func putGroups(service *platformService, count int) error {
	for _, group := range groups(count) {
		record, err := json.Marshal(group)
		if err != nil {
			return eris.Wrap(err, "encode group record")
		}
		service.server.Put(configuration.GroupKey(group.ID), record)
	}
	return nil
}

// scanGroups reads and decodes all group records, as a poll does.
func scanGroups(ctx context.Context, service *platformService) error {
	records, err := service.client.Scan(ctx, configuration.GroupKey(""))
	if err != nil {
		return err
	}
	for _, record := range records {
		var group configuration.GroupRecord
		if err := json.Unmarshal(record.Value, &group.Group); err != nil {
			return eris.Wrap(err, "decode group record")
		}
	}
	return nil
}

// groupRecordsMemory returns the live bytes of the group records once all of
// them have been read.
func groupRecordsMemory(ctx context.Context, service *platformService, count int) float64 {
	before := liveBytes()
	ctx, cancel := context.WithCancel(ctx)
	followed := configuration.NewGroups(service.client, configuration.FollowerOptions{}, zerolog.Nop())
	done := make(chan struct{})
	go func() {
		defer close(done)
		followed.Run(ctx)
	}()
	for len(followed.IDs()) < count && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	recordsMemory := liveBytes() - before
	cancel()
	<-done
	return recordsMemory
}
